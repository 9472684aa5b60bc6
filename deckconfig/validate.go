package deckconfig

import (
	"math"
	"regexp"
)

// Limits of a configuration.
const (
	MaxRanks     = 16
	MaxVersions  = 256
	maxTimeoutMS = 600_000
	maxNameLen   = 63
)

// shareSumTolerance allows for rounding errors in sums of shares.
const shareSumTolerance = 1e-9

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Validate checks the configuration and returns all errors as Errors.
func (c *Config) Validate() error {
	v := validator{config: c, keyHolders: make(map[string]string)}
	if c.Format != Format {
		v.errs.add("configuration", "format", "is %q, must be %q", c.Format, Format)
	}
	v.ranks()
	v.customers()
	v.operators()
	v.services()
	return v.errs.errorOrNil()
}

// validator collects the errors of a configuration. It also collects the names of objects, to check references to
// them.
type validator struct {
	config        *Config
	errs          Errors
	keyHolders    map[string]string // for each key hash, the object that holds it
	rankNames     map[string]bool
	customerNames map[string]bool
}

func (v *validator) ranks() {
	ranks := v.config.Ranks
	if len(ranks) == 0 || len(ranks) > MaxRanks {
		v.errs.add("configuration", "ranks", "has %d ranks, must have 1 to %d", len(ranks), MaxRanks)
	}
	v.rankNames = make(map[string]bool, len(ranks))
	var shares float64
	for _, r := range ranks {
		object := "rank " + r.Name
		v.name(object, r.Name, v.rankNames)
		v.positive(object, "first_token_ms", float64(r.FirstTokenMS))
		v.positive(object, "between_tokens_ms", float64(r.BetweenTokensMS))
		v.positive(object, "worth", r.Worth)
		v.share(object, r.Share)
		shares += r.Share
	}
	v.shareSum("ranks", shares)
}

func (v *validator) customers() {
	v.customerNames = make(map[string]bool, len(v.config.Customers))
	var shares float64
	for _, c := range v.config.Customers {
		object := "customer " + c.Name
		v.name(object, c.Name, v.customerNames)
		v.hashes(object, c.KeyHashes)
		v.share(object, c.Share)
		if !finite(c.RequestsPerSecond) || c.RequestsPerSecond < 0 {
			v.errs.add(object, "requests_per_second", "is %v, must be 0 or positive", c.RequestsPerSecond)
		}
		shares += c.Share
	}
	v.shareSum("customers", shares)
}

func (v *validator) operators() {
	names := make(map[string]bool, len(v.config.Operators))
	for _, o := range v.config.Operators {
		object := "operator " + o.Name
		v.name(object, o.Name, names)
		v.hashes(object, o.KeyHashes)
		if o.Role != RoleViewer && o.Role != RoleOperator {
			v.errs.add(object, "role", "is %q, must be %q or %q", o.Role, RoleViewer, RoleOperator)
		}
	}
}

func (v *validator) services() {
	names := make(map[string]bool, len(v.config.Services))
	for i := range v.config.Services {
		s := &v.config.Services[i]
		object := "service " + s.Name
		v.name(object, s.Name, names)
		v.service(object, s)
		v.kind(object, s)
		v.adapters(s)
	}
}

func (v *validator) service(object string, s *Service) {
	if !v.rankNames[s.DefaultRank] {
		v.errs.add(object, "default_rank", "names rank %q, which does not exist", s.DefaultRank)
	}
	if s.TimeoutMS < 0 || s.TimeoutMS > maxTimeoutMS {
		v.errs.add(object, "timeout_ms", "is %d, must be 0 to %d", s.TimeoutMS, maxTimeoutMS)
	}
	seen := make(map[string]bool, len(s.Customers))
	for _, name := range s.Customers {
		if !v.customerNames[name] {
			v.errs.add(object, "customers", "names customer %q, which does not exist", name)
		}
		if seen[name] {
			v.errs.add(object, "customers", "names customer %q twice", name)
		}
		seen[name] = true
	}
}

// kind checks the kind of a service and the fields that are required or forbidden for this kind.
func (v *validator) kind(object string, s *Service) {
	switch s.Kind {
	case ModelService:
		if s.BaseModel == "" {
			v.errs.add(object, "base_model", "is required for a model service")
		}
	case PlainService:
		if s.BaseModel != "" {
			v.errs.add(object, "base_model", "must be empty for a plain service")
		}
		if len(s.Adapters) > 0 {
			v.errs.add(object, "adapters", "must be empty for a plain service")
		}
	default:
		v.errs.add(object, "kind", "is %q, must be %q or %q", s.Kind, ModelService, PlainService)
	}
}

func (v *validator) adapters(s *Service) {
	names := make(map[string]bool, len(s.Adapters))
	for i := range s.Adapters {
		a := &s.Adapters[i]
		object := "adapter " + s.Name + "/" + a.Name
		v.name(object, a.Name, names)
		if len(a.Versions) == 0 || len(a.Versions) > MaxVersions {
			v.errs.add(object, "versions", "has %d versions, must have 1 to %d", len(a.Versions), MaxVersions)
		}
		versions := make(map[string]bool, len(a.Versions))
		for _, version := range a.Versions {
			v.name(object+"@"+version.Name, version.Name, versions)
			if version.Source == "" {
				v.errs.add(object+"@"+version.Name, "source", "is required")
			}
		}
		if !versions[a.Default] {
			v.errs.add(object, "default", "names version %q, which does not exist", a.Default)
		}
	}
}

// name checks that a name has a valid form and is not in seen, and adds the name to seen.
func (v *validator) name(object, name string, seen map[string]bool) {
	if len(name) > maxNameLen || !namePattern.MatchString(name) {
		v.errs.add(object, "name", "is %q, must be 1 to %d characters of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends", name, maxNameLen)
	}
	if seen[name] {
		v.errs.add(object, "name", "is used twice")
	}
	seen[name] = true
}

// hashes checks that the key hashes of an object have a valid form and that no object holds them already.
func (v *validator) hashes(object string, hashes []string) {
	if len(hashes) == 0 {
		v.errs.add(object, "key_hashes", "must hold at least one hash")
	}
	for _, hash := range hashes {
		if !hashPattern.MatchString(hash) {
			v.errs.add(object, "key_hashes", "holds %q, must be SHA-256 in 64 lower-case hex digits", redact(hash))
			continue
		}
		if holder, used := v.keyHolders[hash]; used {
			v.errs.add(object, "key_hashes", "holds a key that %s holds as well", holder)
		}
		v.keyHolders[hash] = object
	}
}

// redact shortens an invalid hash for error messages, because a user may have given the key instead of its hash.
func redact(hash string) string {
	const shown = 4
	if len(hash) <= shown {
		return "..."
	}
	return hash[:shown] + "..."
}

func (v *validator) share(object string, share float64) {
	if !finite(share) || share < 0 || share > 1 {
		v.errs.add(object, "share", "is %v, must be 0 to 1", share)
	}
}

func (v *validator) shareSum(field string, sum float64) {
	if sum > 1+shareSumTolerance {
		v.errs.add("configuration", field, "have shares that add up to %.4g, must be at most 1", sum)
	}
}

func (v *validator) positive(object, field string, value float64) {
	if !finite(value) || value <= 0 {
		v.errs.add(object, field, "is %v, must be positive", value)
	}
}

func finite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// CheckChange returns an error if next changes the weight source of an adapter version that exists in base. Engines
// and callers rely on versions being immutable. If base is nil, every change is allowed.
func CheckChange(base, next *Config) error {
	if base == nil {
		return nil
	}
	old := make(map[string]*Adapter)
	for i := range base.Services {
		s := &base.Services[i]
		for j := range s.Adapters {
			old[s.Name+"/"+s.Adapters[j].Name] = &s.Adapters[j]
		}
	}
	var errs Errors
	for i := range next.Services {
		s := &next.Services[i]
		for j := range s.Adapters {
			if before := old[s.Name+"/"+s.Adapters[j].Name]; before != nil {
				errs = append(errs, CheckAdapterChange(s.Name, before, &s.Adapters[j])...)
			}
		}
	}
	return errs.errorOrNil()
}

// CheckAdapterChange returns an error for each version of base whose weight source is different in next.
func CheckAdapterChange(service string, base, next *Adapter) Errors {
	sources := make(map[string]string, len(base.Versions))
	for _, v := range base.Versions {
		sources[v.Name] = v.Source
	}
	var errs Errors
	for _, v := range next.Versions {
		if source, exists := sources[v.Name]; exists && source != v.Source {
			errs.add("adapter "+service+"/"+next.Name+"@"+v.Name, "source",
				"changes from %q to %q; a version is immutable, add a new version instead", source, v.Source)
		}
	}
	return errs
}

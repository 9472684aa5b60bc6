package configcheck

import (
	"encoding/json"
	"errors"
	"reflect"
	"regexp"
	"strings"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
)

// checkOwn checks a configuration of package deckconfig.
func (c *checker) checkOwn(data []byte) {
	if !c.read(data, reflect.TypeFor[deckconfig.Config]()) {
		return
	}
	var config deckconfig.Config
	if json.Unmarshal(data, &config) != nil {
		return // read has reported each wrong type
	}
	o := &ownChecker{checker: c, config: &config, paths: map[string]string{"configuration": ""}, holders: make(map[string]string)}
	o.indexObjects()
	o.checkValidity()
	o.checkKeys()
	o.checkUse()
	o.checkTargets()
	c.report.own = &config
}

// ownChecker checks the values of a configuration of package deckconfig.
type ownChecker struct {
	*checker
	config  *deckconfig.Config
	paths   map[string]string // by the name of an object in deckconfig.FieldError
	holders map[string]string // path of the first object that holds a key hash
}

// indexObjects records the paths of the objects.
func (o *ownChecker) indexObjects() {
	for i := range o.config.Ranks {
		o.paths["rank "+o.config.Ranks[i].Name] = o.doc.path("Ranks", i)
	}
	for i := range o.config.Customers {
		o.paths["customer "+o.config.Customers[i].Name] = o.doc.path("Customers", i)
	}
	for i := range o.config.Operators {
		o.paths["operator "+o.config.Operators[i].Name] = o.doc.path("Operators", i)
	}
	for i := range o.config.Services {
		s := &o.config.Services[i]
		o.paths["service "+s.Name] = o.doc.path("Services", i)
		for j := range s.Adapters {
			a := &s.Adapters[j]
			name := "adapter " + s.Name + "/" + a.Name
			o.paths[name] = o.doc.path("Services", i, "Adapters", j)
			for k := range a.Versions {
				o.paths[name+"@"+a.Versions[k].Name] = o.doc.path("Services", i, "Adapters", j, "Versions", k)
			}
		}
	}
}

// checkValidity reports what daemons refuse. Faults of keys are reported by checkKeys.
func (o *ownChecker) checkValidity() {
	var errs deckconfig.Errors
	if !errors.As(o.config.Validate(), &errs) {
		return
	}
	hashes := jsonName(mustField[deckconfig.Customer]("KeyHashes"))
	for _, err := range errs {
		if err.Field == hashes {
			continue
		}
		path := strings.TrimPrefix(o.paths[err.Object]+"."+err.Field, ".")
		o.add(Error, kindOf(err), path, "%s", err.Problem)
	}
}

func mustField[T any](name string) reflect.StructField {
	field, ok := reflect.TypeFor[T]().FieldByName(name)
	if !ok {
		panic("configcheck: no field " + name)
	}
	return field
}

// kindOf returns the kind of the finding for an error of deckconfig.
func kindOf(err deckconfig.FieldError) Kind {
	switch {
	case err.Field == jsonName(mustField[deckconfig.Service]("Kind")):
		return UnknownKind
	case err.Problem == "is used twice":
		return DuplicateName
	case strings.HasPrefix(err.Problem, "is ") && strings.Contains(err.Problem, ", must be"):
		return OutOfRange
	}
	return Invalid
}

// keyHash matches the SHA-256 hash of a key.
var keyHash = regexp.MustCompile(`^[0-9a-f]{64}$`)

// fingerprintOf returns the fingerprint of the key with a hash. A text that is no hash may be the
// key itself.
func fingerprintOf(hash string) string {
	if keyHash.MatchString(hash) {
		return hash[:8]
	}
	return accounts.DigestOf(hash).Fingerprint()
}

func (o *ownChecker) checkKeys() {
	var secrets []string
	check := func(hashes []string, list string, i int) {
		owner := o.doc.path(list, i)
		if len(hashes) == 0 {
			o.add(Error, NoKey, owner, "has no key; daemons refuse the configuration")
		}
		for j, hash := range hashes {
			path := o.doc.path(list, i, "KeyHashes", j)
			if !keyHash.MatchString(hash) {
				secrets = append(secrets, hash)
				o.add(Error, UnusableKey, path, "must be SHA-256 in 64 lower-case hexadecimal digits; the text has the fingerprint %s and may be a key itself", fingerprintOf(hash))
				continue
			}
			switch first, ok := o.holders[hash]; {
			case !ok:
				o.holders[hash] = owner
			case first == owner:
				o.add(Error, DuplicateKey, path, "key %s occurs twice", fingerprintOf(hash))
			default:
				o.add(Error, DuplicateKey, path, "key %s is held by %s, too", fingerprintOf(hash), first)
			}
		}
	}
	for i := range o.config.Customers {
		check(o.config.Customers[i].KeyHashes, "Customers", i)
	}
	for i := range o.config.Operators {
		check(o.config.Operators[i].KeyHashes, "Operators", i)
	}
	o.report.redact = redactor(secrets)
}

// checkUse reports entries that no request uses.
func (o *ownChecker) checkUse() {
	open, allowed := false, make(map[string]bool)
	for i := range o.config.Services {
		s := &o.config.Services[i]
		if s.Kind == deckconfig.ModelService && len(s.Adapters) == 0 {
			o.add(Warning, NoEngines, o.doc.path("Services", i), "model service %q has no adapter to load", s.Name)
		}
		open = open || len(s.Customers) == 0
		for _, name := range s.Customers {
			allowed[name] = true
		}
	}
	if len(o.config.Customers) == 0 && len(o.config.Services) > 0 {
		o.add(Warning, UnusedService, o.doc.path("Services"), "there is no customer who may call a service")
	}
	for i := range o.config.Customers {
		if name := o.config.Customers[i].Name; !open && !allowed[name] {
			o.add(Warning, NeverMatches, o.doc.path("Customers", i), "customer %q may call no service", name)
		}
	}
}

// checkTargets reports timeouts and rates that contradict the targets of ranks.
func (o *ownChecker) checkTargets() {
	ranks := make(map[string]*deckconfig.Rank)
	for i := range o.config.Ranks {
		r := &o.config.Ranks[i]
		ranks[r.Name] = r
	}
	for i := range o.config.Services {
		s := &o.config.Services[i]
		r := ranks[s.DefaultRank]
		if r == nil || s.TimeoutMS <= 0 {
			continue
		}
		path := o.doc.path("Services", i, "TimeoutMS")
		if s.TimeoutMS < r.FirstTokenMS {
			o.add(Error, TimeoutUnderObjective, path, "%d ms end a request before the first-token target of %d ms of rank %q", s.TimeoutMS, r.FirstTokenMS, r.Name)
		}
		if r.BetweenTokensMS > s.TimeoutMS {
			o.add(Error, PauseOverTimeout, path, "is %d ms, shorter than the target of %d ms between tokens of rank %q", s.TimeoutMS, r.BetweenTokensMS, r.Name)
		}
	}
}

package configcheck

import (
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/coordination/retrybudget"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/platform"
)

// bodyMemoryShare is the part of a VM's memory that one request body may take. Four callers with
// the longest body that is allowed then fill the VM.
const bodyMemoryShare = 0.25

// checkPlatform checks a configuration of the users' platform.
func (c *checker) checkPlatform(data []byte) {
	if !c.read(data, reflect.TypeFor[platform.ConfigDocument]()) {
		return
	}
	var doc platform.ConfigDocument
	_ = json.Unmarshal(data, &doc) // read has reported each wrong type
	p := &platformChecker{checker: c, config: &doc, services: make(map[string]int), used: make(map[string]bool)}
	if len(doc.Routes) == 0 {
		// Also found for a whole object of the store, where the configuration is one level deeper.
		c.add(Error, NoRoute, p.at("Routes"), "there is no route, so that no request is served; the file must hold the configuration without metadata")
	}
	p.checkServices()
	p.checkRoutes()
	for i := range doc.Services {
		if name := doc.Services[i].Name; !p.used[name] {
			c.add(Warning, UnusedService, p.at("Services", i), "no route sends requests to service %q", name)
		}
	}
	p.checkLimits()
	p.checkAccounts()
	if config, err := platform.DecodeConfig(data); err == nil {
		c.report.platform = config
	} else if c.report.Errors() == 0 {
		c.add(Error, Invalid, "", "daemons refuse the configuration")
	}
}

// platformChecker checks the values of a configuration of the users' platform.
type platformChecker struct {
	*checker
	config   *platform.ConfigDocument
	services map[string]int  // index by name
	used     map[string]bool // services to which a route sends requests
}

func (p *platformChecker) at(parts ...any) string { return p.doc.path(parts...) }

func (p *platformChecker) checkServices() {
	for i := range p.config.Services {
		s := &p.config.Services[i]
		if s.Name == "" {
			p.add(Error, OutOfRange, p.at("Services", i, "Name"), "the service has no name")
		} else if _, ok := p.services[s.Name]; ok {
			p.add(Error, DuplicateName, p.at("Services", i, "Name"), "service %q is defined twice; the last definition is in force", s.Name)
		}
		p.services[s.Name] = i
		p.notNegative(float64(s.MaxConns), "Services", i, "MaxConns")
		if s.Backend != nil {
			p.checkEngines(i, s)
		}
	}
}

func (p *platformChecker) checkEngines(i int, s *platform.ConfigService) {
	b := s.Backend
	if b.Slots == 0 {
		p.add(Error, NoEngines, p.at("Services", i, "Backend", "Slots"), "the engines of service %q run no requests", s.Name)
	}
	if len(b.Models) == 0 {
		p.add(Error, NoEngines, p.at("Services", i, "Backend", "Models"), "the engines of service %q have no model", s.Name)
	}
	p.notNegative(float64(b.Slots), "Services", i, "Backend", "Slots")
	p.notNegative(float64(b.KVTokens), "Services", i, "Backend", "KVTokens")
	p.notNegative(float64(b.AdapterSlots), "Services", i, "Backend", "AdapterSlots")
	p.notNegative(b.WeightsMB, "Services", i, "Backend", "WeightsMB")
	p.notNegative(b.LoadsPerSec, "Services", i, "Backend", "LoadsPerSec")
	for j, m := range b.Models {
		p.notNegative(m.WeightsMB, "Services", i, "Backend", "Models", j, "WeightsMB")
		p.notNegative(m.AdapterMB, "Services", i, "Backend", "Models", j, "AdapterMB")
		p.notNegative(m.LoadTime, "Services", i, "Backend", "Models", j, "LoadTime")
		if m.WeightsMB > b.WeightsMB {
			p.add(Error, OutOfRange, p.at("Services", i, "Backend", "Models", j, "WeightsMB"),
				"model %q takes %v MB, an engine has %v MB", m.Name, m.WeightsMB, b.WeightsMB)
		}
	}
}

// notNegative reports a value under 0 at a path.
func (p *platformChecker) notNegative(value float64, parts ...any) {
	if value < 0 {
		p.add(Error, OutOfRange, p.at(parts...), "is %v, must be 0 or more", value)
	}
}

func (p *platformChecker) checkRoutes() {
	names, matches := make(map[string]bool), make(map[[2]string]int)
	for i := range p.config.Routes {
		r := &p.config.Routes[i]
		if names[r.Name] {
			p.add(Warning, DuplicateName, p.at("Routes", i, "Name"), "route %q is defined twice; metrics and log lines can't tell the two apart", r.Name)
		}
		names[r.Name] = true
		p.checkMatch(i, r)
		key := [2]string{strings.ToLower(r.Host), r.Prefix}
		if first, ok := matches[key]; ok {
			p.add(Error, ShadowedRoute, p.at("Routes", i), "has the host and path prefix of route %q at %s; only one of them gets requests", p.config.Routes[first].Name, p.at("Routes", first))
		} else {
			matches[key] = i
		}
		p.checkRouteKind(i, r)
		p.checkTargets(i, r)
		p.checkTimes(i, r)
		p.checkAttempts(i, r)
		if r.Priority < 0 {
			p.add(Error, Priority, p.at("Routes", i, "Priority"), "is %d, must be 0 to %d", r.Priority, balance.RankCount-1)
		} else if r.Priority >= balance.RankCount {
			p.add(Warning, Priority, p.at("Routes", i, "Priority"), "is %d; daemons treat every priority from %d on alike", r.Priority, balance.RankCount-1)
		}
	}
}

// checkMatch reports routes that no request matches, see routes.Table.Lookup.
func (p *platformChecker) checkMatch(i int, r *platform.ConfigRoute) {
	if r.Prefix == "" {
		p.add(Warning, OutOfRange, p.at("Routes", i, "Prefix"), "is empty and matches every path of the host")
	} else if !strings.HasPrefix(r.Prefix, "/") {
		p.add(Error, NeverMatches, p.at("Routes", i, "Prefix"), "%q matches no path, as paths begin with a slash", r.Prefix)
	} else if !strings.HasSuffix(r.Prefix, "/") {
		p.add(Warning, OutOfRange, p.at("Routes", i, "Prefix"), "%q does not end with a slash and matches within a path segment", r.Prefix)
	}
	switch {
	case r.Host == "":
		p.add(Error, NeverMatches, p.at("Routes", i, "Host"), "the route has no host")
	case strings.Contains(r.Host, ":") && !strings.HasSuffix(r.Host, "]"):
		p.add(Error, NeverMatches, p.at("Routes", i, "Host"), "%q has a port, which is removed from the host of a request", r.Host)
	case strings.ContainsAny(r.Host, " /*"):
		p.add(Error, NeverMatches, p.at("Routes", i, "Host"), "%q is no host name; there are no wildcards", r.Host)
	}
}

func (p *platformChecker) checkRouteKind(i int, r *platform.ConfigRoute) {
	switch r.Kind {
	case routes.Stream.String():
		return
	case routes.Idempotent.String(), routes.NonIdempotent.String():
		if r.Resumable {
			p.add(Warning, UnusedField, p.at("Routes", i, "Resumable"), "has an effect on streams only")
		}
		if r.GapGoal != 0 {
			p.add(Warning, UnusedField, p.at("Routes", i, "GapGoal"), "has an effect on streams only")
		}
	default:
		p.add(Error, UnknownKind, p.at("Routes", i, "Kind"), "%q must be %q, %q or %q; daemons refuse the whole configuration",
			r.Kind, routes.Idempotent, routes.NonIdempotent, routes.Stream)
	}
}

func (p *platformChecker) checkTargets(i int, r *platform.ConfigRoute) {
	if len(r.Backends) == 0 {
		p.target(r.Service, "Routes", i, "Service")
		return
	}
	if r.Service != "" {
		p.add(Warning, UnusedField, p.at("Routes", i, "Service"), "has no effect beside the weighted services")
	}
	isZero := true
	for j, b := range r.Backends {
		p.target(b.Service, "Routes", i, "Backends", j, "Service")
		p.notNegative(float64(b.Weight), "Routes", i, "Backends", j, "Weight")
		isZero = isZero && b.Weight == 0
	}
	if isZero {
		p.add(Error, NoWeight, p.at("Routes", i, "Backends"), "all weights of route %q are 0, so that no service gets its requests", r.Name)
	}
}

func (p *platformChecker) target(service string, parts ...any) {
	p.used[service] = true
	if _, ok := p.services[service]; !ok {
		p.add(Error, UnknownService, p.at(parts...), "names service %q, which does not exist", service)
	}
}

func (p *platformChecker) checkTimes(i int, r *platform.ConfigRoute) {
	p.notNegative(r.Goal, "Routes", i, "Goal")
	p.notNegative(r.GapGoal, "Routes", i, "GapGoal")
	if r.Timeout <= 0 {
		p.add(Error, OutOfRange, p.at("Routes", i, "Timeout"), "is %v ms, must be more; requests without a deadline of their own fail at once", r.Timeout)
		return
	}
	if r.Timeout < r.Goal {
		p.add(Error, TimeoutUnderObjective, p.at("Routes", i, "Timeout"), "%v ms end a request before its latency objective of %v ms", r.Timeout, r.Goal)
	}
	if r.GapGoal > r.Timeout {
		p.add(Error, PauseOverTimeout, p.at("Routes", i, "GapGoal"), "pauses of up to %v ms are longer than the timeout of %v ms", r.GapGoal, r.Timeout)
	}
}

func (p *platformChecker) checkAttempts(i int, r *platform.ConfigRoute) {
	path := p.at("Routes", i, "Attempts")
	if r.Attempts < 1 {
		if p.doc.has(path) {
			p.add(Error, Attempts, path, "is %d, must be 1 or more; daemons use 1", r.Attempts)
		}
		return
	}
	isRepeatable := r.Kind == routes.Idempotent.String() || r.Kind == routes.Stream.String() && r.Resumable
	if !isRepeatable {
		return
	}
	if most := p.maxAttempts(); r.Attempts > most {
		p.add(Warning, Attempts, path, "is %d; the retry budget of one of %d daemons (ratio %v, burst %v) carries %d for a request",
			r.Attempts, max(p.options.Daemons, 1), p.options.RetryRatio, p.options.RetryBurst, most)
	}
}

// attemptsChecked bounds how many attempts maxAttempts tries.
const attemptsChecked = 1000

// maxAttempts returns how many attempts of a single request the retry budget of a daemon allows
// within one window.
func (p *platformChecker) maxAttempts() int {
	now := time.Unix(0, 0)
	budget := retrybudget.New(p.options.RetryRatio, p.options.RetryBurst, time.Second, now)
	budget.RecordRequest(now)
	n := 1
	for n < attemptsChecked && budget.AllowRetry(now, p.options.Daemons) {
		n++
	}
	return n
}

func (p *platformChecker) checkLimits() {
	l := &p.config.Limits
	if path := p.at("Limits", "HeaderBytes"); l.HeaderBytes < 0 || l.HeaderBytes == 0 && p.doc.has(path) {
		p.add(Error, HeaderLimit, path, "is %d, which leaves no room for a request header", l.HeaderBytes)
	}
	p.notNegative(float64(l.BodyBytes), "Limits", "BodyBytes")
	p.notNegative(l.HeaderTimeout, "Limits", "HeaderTimeout")
	p.notNegative(l.IdleTimeout, "Limits", "IdleTimeout")
	if most := bodyMemoryShare * float64(p.options.MemoryMB) * (1 << 20); most > 0 && float64(l.BodyBytes) > most {
		p.add(Error, BodyOverMemory, p.at("Limits", "BodyBytes"), "one body of %d bytes takes more than a quarter of the %d MB of a VM", l.BodyBytes, p.options.MemoryMB)
	}
}

func (p *platformChecker) checkAccounts() {
	var secrets []string
	names, holders := make(map[string]bool), make(map[accounts.Digest]int)
	for i, raw := range p.config.Accounts {
		var a platform.ConfigAccount
		if json.Unmarshal(raw, &a) != nil {
			secrets = append(secrets, a.Keys...)
			p.add(Error, UnusableAccount, p.at("Accounts", i), "daemons can't read the account, so that its keys are unknown")
			continue
		}
		for j, key := range a.Keys {
			secrets = append(secrets, key)
			p.checkKey(i, j, key, holders)
		}
		if len(a.Keys) == 0 {
			p.add(Warning, NoKey, p.at("Accounts", i), "the account has no key, so that no request belongs to it")
		}
		if names[a.Name] {
			p.add(Error, DuplicateName, p.at("Accounts", i, "Name"), "two accounts have this name, so that they share a quota")
		}
		names[a.Name] = true
		p.checkQuota(i, &a)
	}
	p.checkDecodedAccounts()
	p.report.redact = redactor(secrets)
}

// checkDecodedAccounts reports accounts and priorities of the right type that daemons don't use.
func (p *platformChecker) checkDecodedAccounts() {
	config, err := platform.DecodeConfig(p.accountsOnly())
	if err != nil {
		return
	}
	for i, a := range config.Accounts {
		var w platform.ConfigAccount
		switch {
		case json.Unmarshal(p.config.Accounts[i], &w) != nil:
		case a.Unusable:
			p.add(Error, UnusableAccount, p.at("Accounts", i, "Name"), "is empty, too long or can't be sent in a header, so that daemons don't use the account")
		case w.Priority != nil && !a.HasPriority:
			p.add(Error, Priority, p.at("Accounts", i, "Priority"), "is %v, no whole number in the range of daemons, which use the priority of the route instead", *w.Priority)
		}
	}
}

// accountsOnly returns a configuration that holds only the accounts, so that faults of other entries
// don't hide those of accounts.
func (p *platformChecker) accountsOnly() []byte {
	data, err := json.Marshal(platform.ConfigDocument{Accounts: p.config.Accounts})
	if err != nil {
		return nil
	}
	return data
}

func (p *platformChecker) checkKey(i, j int, key string, holders map[accounts.Digest]int) {
	path, digest := p.at("Accounts", i, "Keys", j), accounts.DigestOf(key)
	if !accounts.IsKey(key) {
		p.add(Error, UnusableKey, path, "key %s is empty, longer than %d bytes or has characters that a header can't carry", digest.Fingerprint(), accounts.MaxKeyBytes)
		return
	}
	switch first, ok := holders[digest]; {
	case !ok:
		holders[digest] = i
	case first == i:
		p.add(Warning, DuplicateKey, path, "key %s occurs twice in the account", digest.Fingerprint())
	default:
		p.add(Error, DuplicateKey, path, "key %s belongs to the account at %s, which holds it, too", digest.Fingerprint(), p.at("Accounts", first))
	}
}

// checkQuota reports quotas that the daemons replace, or that one request exceeds.
func (p *platformChecker) checkQuota(i int, a *platform.ConfigAccount) {
	p.notNegative(a.PerSecond, "Accounts", i, "PerSecond")
	p.notNegative(a.Burst, "Accounts", i, "Burst")
	p.notNegative(a.PlainTokens, "Accounts", i, "PlainTokens")
	if a.PerSecond == 0 && a.Burst > 0 {
		p.add(Warning, UnusedField, p.at("Accounts", i, "Burst"), "has no effect without a rate; the account has no limit")
	}
	burst, cost := a.Burst, 1.0 // daemons use one second of the rate for a missing burst
	if burst <= 0 {
		burst = a.PerSecond
	}
	if platform.CountsTokens(a) {
		cost = max(1, a.PlainTokens)
	}
	if a.PerSecond > 0 && burst < cost {
		p.add(Error, QuotaBurst, p.at("Accounts", i, "Burst"), "a burst of %v is below one request, which counts %v", burst, cost)
	}
}

package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
)

// edgePath is the HTTP path of the fleet report of a daemon on the users' platform. It is served on the
// daemon's metrics address.
const edgePath = "/fleet"

// maxEdgeReportBytes limits how much of a fleet report is read.
const maxEdgeReportBytes = 64 << 20

// httpClient reads from daemons what the API for operators does not serve.
var httpClient = httpconn.NewClient()

// readEdgeReport fetches the fleet report of a daemon on the users' platform.
func readEdgeReport(ctx context.Context, addr string) (protocol.FleetReport, error) {
	var r protocol.FleetReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+edgePath, nil)
	if err != nil {
		return r, usageError(fmt.Sprintf("--edge must be an address such as 10.0.0.1:7382, is %q", addr))
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return r, fmt.Errorf("read report of daemon %s: %w", addr, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, fmt.Errorf("read report of daemon %s: status %s", addr, resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEdgeReportBytes)).Decode(&r); err != nil {
		return r, fmt.Errorf("decode report of daemon %s: %w", addr, err)
	}
	return r, nil
}

// printEdge prints a fleet report: warnings, then daemons and upstreams. If handover is set, it also prints the
// routes, services and adapters of the configuration.
func (e *env) printEdge(r *protocol.FleetReport, handover bool) error {
	if e.json() {
		return e.printJSON(r)
	}
	fmt.Fprintf(e.Stdout, "seen from %s in %s at %s; configuration %d, list of upstreams %s old\n\n", r.VM, r.Zone, formatTime(r.At), r.ConfigVersion, r.UpstreamListAge.Round(time.Millisecond))
	for _, line := range edgeWarnings(r) {
		fmt.Fprintln(e.Stdout, e.colorize(colorYellow, "warning: "+line))
	}
	sections := []func(io.Writer){
		func(t io.Writer) { printEdgePeers(t, r) },
		func(t io.Writer) { printEdgeUpstreams(t, r) },
	}
	if len(r.Accounts) > 0 {
		sections = append(sections, func(t io.Writer) { printEdgeAccounts(t, r) })
	}
	if handover {
		sections = append(sections, func(t io.Writer) { printEdgeConfig(t, r) }, func(t io.Writer) { printEdgeAdapters(t, r) })
	}
	for _, section := range sections {
		fmt.Fprintln(e.Stdout)
		if err := table(e.Stdout, section); err != nil {
			return err
		}
	}
	return nil
}

// staleListAge is the age above which edgeWarnings reports the list of upstreams as stale.
const staleListAge = 5 * time.Second

// edgeWarnings returns a warning for each of these faults in a fleet report:
//   - the daemon has no configuration;
//   - the object store is unreachable;
//   - the list of upstreams is stale;
//   - a daemon is silent;
//   - a service has no upstream that takes requests;
//   - no daemon may order loads at an engine;
//   - an upstream is barred for another reason than draining;
//   - an upstream limits its requests;
//   - an account has used up its quota, or is served more than its fair share;
//   - requests are quarantined.
func edgeWarnings(r *protocol.FleetReport) []string {
	var warnings []string
	if r.ConfigVersion == 0 {
		warnings = append(warnings, "this daemon has no configuration")
	}
	if !r.StoreReachable {
		warnings = append(warnings, "the object store did not answer this daemon's last call")
	}
	if r.UpstreamListAge > staleListAge {
		warnings = append(warnings, fmt.Sprintf("the list of upstreams is %s old", r.UpstreamListAge.Round(time.Second)))
	}
	for _, p := range r.Peers {
		if p.Lost {
			warnings = append(warnings, fmt.Sprintf("daemon %s has been silent for %s", p.VM, p.MessageAge.Round(time.Second)))
		}
	}
	isEngineService := make(map[string]bool)
	for _, s := range r.Services {
		isEngineService[s.Name] = len(s.Models) > 0
		if s.Upstreams == s.Draining {
			warnings = append(warnings, fmt.Sprintf("service %s has no upstream that takes requests", s.Name))
		}
	}
	for _, u := range r.Upstreams {
		if isEngineService[u.Service] && !u.Draining && (u.LeaseHolder == "" || !u.CanOrder) {
			warnings = append(warnings, fmt.Sprintf("no daemon may order loads at engine %s; lease holder %q", u.ID, u.LeaseHolder))
		}
		if u.Barred != nil && !u.Draining {
			warnings = append(warnings, fmt.Sprintf("upstream %s gets no new requests: %s", u.ID, barredState(u.Barred)))
		}
		if u.RequestLimit != nil {
			warnings = append(warnings, fmt.Sprintf("upstream %s accepts only %.1f requests/s from all daemons", u.ID, *u.RequestLimit))
		}
	}
	for _, q := range r.Quarantined {
		warnings = append(warnings, fmt.Sprintf("requests with %s %s are refused for another %s: upstreams crashed under them", q.Kind, q.ID, q.EndsIn.Round(time.Second)))
	}
	for _, a := range r.Accounts {
		if a.Rate > 0 && a.Level >= busyQuota*a.Capacity {
			warnings = append(warnings, fmt.Sprintf("account %s has used up its quota of %.0f/s: requests beyond it get 429", a.Name, a.Rate))
		}
		if a.Excess > 1 {
			warnings = append(warnings, fmt.Sprintf("account %s is served more than its fair share, so its requests are refused first while upstreams have too little capacity", a.Name))
		}
	}
	return warnings
}

// barredState describes why an upstream is barred, and for how long.
func barredState(b *protocol.BarredReport) string {
	if b.TimeLeft <= 0 {
		return b.Reason
	}
	return fmt.Sprintf("%s, %s left", b.Reason, b.TimeLeft.Round(100*time.Millisecond))
}

// busyQuota is the part of its capacity above which edgeWarnings reports an account.
const busyQuota = 0.9

func printEdgeAccounts(t io.Writer, r *protocol.FleetReport) {
	fmt.Fprintln(t, "ACCOUNT\tQUOTA/S\tBURST\tUNIT\tSERVED/S\tIN USE\tSHARE HERE\tREFUSED HERE\tSUMS OLD")
	for _, a := range r.Accounts {
		quota, burst, unit, use, age := "none", "-", "tokens", "-", "-"
		if a.Rate > 0 {
			quota, burst = fmt.Sprintf("%.0f", a.Rate), fmt.Sprintf("%.0f", a.Burst)
			use = fmt.Sprintf("%.0f of %.0f", a.Level, a.Capacity)
			if !a.InTokens {
				unit = "requests"
			}
		}
		if a.ReportAge >= 0 {
			age = a.ReportAge.Round(time.Millisecond).String()
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.0f\t%s\t%.0f%%\t%d\t%s\n", a.Name, quota, burst, unit, a.Served, use, 100*a.Share, a.Refused, age)
	}
}

func printEdgePeers(t io.Writer, r *protocol.FleetReport) {
	fmt.Fprintln(t, "DAEMON\tZONE\tSILENT FOR\tSTATE")
	fmt.Fprintf(t, "%s\t%s\t-\tthis daemon\n", r.VM, r.Zone)
	for _, p := range r.Peers {
		state := "serving"
		if p.Lost {
			state = "silent"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", p.VM, p.Zone, p.MessageAge.Round(time.Millisecond), state)
	}
}

func printEdgeUpstreams(t io.Writer, r *protocol.FleetReport) {
	fmt.Fprintln(t, "UPSTREAM\tSERVICE\tZONE\tADDRESS\tSTATE\tLEASE HOLDER\tADAPTERS\tLOAD CAPACITY\tREQUESTS")
	for _, u := range r.Upstreams {
		state := "serving"
		if u.Draining {
			state = "draining"
		}
		if u.Barred != nil {
			state = barredState(u.Barred)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", u.ID, u.Service, u.Zone, u.Addr, state, u.LeaseHolder, u.Adapters, u.LoadCapacity, u.Requests)
	}
}

func printEdgeConfig(t io.Writer, r *protocol.FleetReport) {
	fmt.Fprintln(t, "ROUTE\tHOST\tPREFIX\tKIND\tRANK\tTARGET\tTIMEOUT\tATTEMPTS\tSERVICES")
	for _, x := range r.Routes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\n", x.Name, x.Host, x.Prefix, x.Kind, x.Rank, x.Target, x.Timeout, x.Attempts, strings.Join(x.Services, " "))
	}
	fmt.Fprintln(t, "\nSERVICE\tMODELS\tADAPTER SLOTS\tUPSTREAMS\tDRAINING")
	for _, s := range r.Services {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\n", s.Name, strings.Join(s.Models, " "), s.AdapterSlots, s.Upstreams, s.Draining)
	}
}

func printEdgeAdapters(t io.Writer, r *protocol.FleetReport) {
	fmt.Fprintln(t, "ADAPTER\tNEWEST VERSION\tRESIDENT")
	for _, a := range r.Adapters {
		var replicas []string
		for _, version := range slices.Sorted(maps.Keys(a.Replicas)) {
			replicas = append(replicas, fmt.Sprintf("version %d at %d engines", version, len(a.Replicas[version])))
		}
		newest := "not announced"
		if a.Newest > 0 {
			newest = fmt.Sprint(a.Newest)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", a.Adapter, newest, strings.Join(replicas, ", "))
	}
}

// explainEdge prints, for each version of an adapter, the engines at which the version is resident. If an
// upstream is given, it prints the state of the upstream instead.
func (e *env) explainEdge(r *protocol.FleetReport, adapter, upstream string) error {
	if e.json() {
		return e.printJSON(r)
	}
	if upstream != "" {
		for _, u := range r.Upstreams {
			if string(u.ID) == upstream {
				return table(e.Stdout, func(t io.Writer) {
					printEdgeUpstreams(t, &protocol.FleetReport{Upstreams: []protocol.UpstreamReport{u}})
				})
			}
		}
		return fmt.Errorf("no upstream %s is listed at %s", upstream, r.VM)
	}
	for _, a := range r.Adapters {
		if a.Adapter != adapter {
			continue
		}
		return table(e.Stdout, func(t io.Writer) {
			fmt.Fprintf(t, "%s, newest version %d\n", a.Adapter, a.Newest)
			fmt.Fprintln(t, "VERSION\tENGINE")
			for _, version := range slices.Sorted(maps.Keys(a.Replicas)) {
				for _, id := range a.Replicas[version] {
					fmt.Fprintf(t, "%d\t%s\n", version, id)
				}
			}
		})
	}
	fmt.Fprintf(e.Stdout, "%s is resident at no engine, and no version of it was announced; the first request for it loads it\n", adapter)
	return nil
}

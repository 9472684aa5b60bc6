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
)

// edgePath is where a daemon on the users' platform reports, on its metrics address.
const edgePath = "/fleet"

// maxEdgeReport is the largest report that is read, in bytes.
const maxEdgeReport = 64 << 20

// edgeReport reads what a daemon on the users' platform believes of the fleet.
func edgeReport(ctx context.Context, addr string) (protocol.FleetReport, error) {
	var r protocol.FleetReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+edgePath, nil)
	if err != nil {
		return r, usageError(fmt.Sprintf("--edge must be an address such as 10.0.0.1:7382, is %q", addr))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return r, fmt.Errorf("read report of daemon %s: %w", addr, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, fmt.Errorf("read report of daemon %s: status %s", addr, resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEdgeReport)).Decode(&r); err != nil {
		return r, fmt.Errorf("decode report of daemon %s: %w", addr, err)
	}
	return r, nil
}

// printEdge prints a report: what needs a look first, then daemons and upstreams, and
// for a handover also what the configuration names.
func (e *env) printEdge(r *protocol.FleetReport, handover bool) error {
	if e.json() {
		return e.printJSON(r)
	}
	fmt.Fprintf(e.Stdout, "seen from %s in %s at %s; configuration %d, upstreams as of %s before\n\n", r.VM, r.Zone, stamp(r.At), r.ConfigVersion, r.UpstreamListAge.Round(time.Millisecond))
	for _, line := range edgeConcerns(r) {
		fmt.Fprintln(e.Stdout, e.paint(colorYellow, "look: "+line))
	}
	sections := []func(io.Writer){
		func(t io.Writer) { printEdgePeers(t, r) },
		func(t io.Writer) { printEdgeUpstreams(t, r) },
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

// staleList is the age from which on the list of upstreams is told to be old.
const staleList = 5 * time.Second

// edgeConcerns names what is not as it should be.
func edgeConcerns(r *protocol.FleetReport) []string {
	var list []string
	if r.ConfigVersion == 0 {
		list = append(list, "no configuration is known")
	}
	if !r.StoreReachable {
		list = append(list, "the store did not answer this daemon's last call")
	}
	if r.UpstreamListAge > staleList {
		list = append(list, fmt.Sprintf("the list of upstreams is %s old", r.UpstreamListAge.Round(time.Second)))
	}
	for _, p := range r.Peers {
		if p.Lost {
			list = append(list, fmt.Sprintf("daemon %s has been silent for %s", p.VM, p.MessageAge.Round(time.Second)))
		}
	}
	engines := make(map[string]bool)
	for _, s := range r.Services {
		engines[s.Name] = len(s.Models) > 0
		if s.Upstreams == s.Draining {
			list = append(list, fmt.Sprintf("service %s has no upstream that takes requests", s.Name))
		}
	}
	for _, u := range r.Upstreams {
		if engines[u.Service] && !u.Draining && (u.LeaseHolder == "" || !u.CanOrder) {
			list = append(list, fmt.Sprintf("nobody can order loads at engine %s, holder %q", u.ID, u.LeaseHolder))
		}
	}
	return list
}

func printEdgePeers(t io.Writer, r *protocol.FleetReport) {
	fmt.Fprintln(t, "DAEMON\tZONE\tHEARD BEFORE\tSTATE")
	fmt.Fprintf(t, "%s\t%s\t-\tthis one\n", r.VM, r.Zone)
	for _, p := range r.Peers {
		state := "serving"
		if p.Lost {
			state = "silent"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", p.VM, p.Zone, p.MessageAge.Round(time.Millisecond), state)
	}
}

func printEdgeUpstreams(t io.Writer, r *protocol.FleetReport) {
	fmt.Fprintln(t, "UPSTREAM\tSERVICE\tZONE\tADDRESS\tSTATE\tHOLDER\tADAPTERS\tROOM\tREQUESTS")
	for _, u := range r.Upstreams {
		state := "serving"
		if u.Draining {
			state = "draining"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", u.ID, u.Service, u.Zone, u.Addr, state, u.LeaseHolder, u.Adapters, u.LoadCapacity, u.Requests)
	}
}

func printEdgeConfig(t io.Writer, r *protocol.FleetReport) {
	fmt.Fprintln(t, "ROUTE\tHOST\tPREFIX\tKIND\tRANK\tTARGET\tTIMEOUT\tATTEMPTS\tSERVICES")
	for _, x := range r.Routes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\n", x.Name, x.Host, x.Prefix, x.Kind, x.Rank, x.Target, x.Timeout, x.Attempts, strings.Join(x.Services, " "))
	}
	fmt.Fprintln(t, "\nSERVICE\tMODELS\tPLACES FOR ADAPTERS\tUPSTREAMS\tDRAINING")
	for _, s := range r.Services {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\n", s.Name, strings.Join(s.Models, " "), s.AdapterSlots, s.Upstreams, s.Draining)
	}
}

func printEdgeAdapters(t io.Writer, r *protocol.FleetReport) {
	fmt.Fprintln(t, "ADAPTER\tNEWEST VERSION\tHELD")
	for _, a := range r.Adapters {
		var held []string
		for _, version := range slices.Sorted(maps.Keys(a.Replicas)) {
			held = append(held, fmt.Sprintf("version %d at %d engines", version, len(a.Replicas[version])))
		}
		newest := "not announced"
		if a.Newest > 0 {
			newest = fmt.Sprint(a.Newest)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", a.Adapter, newest, strings.Join(held, ", "))
	}
}

// explainEdge tells which upstreams could serve an adapter, or the state of one.
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
	fmt.Fprintf(e.Stdout, "no engine holds %s, and no version of it was announced; it is loaded when it is asked for\n", adapter)
	return nil
}

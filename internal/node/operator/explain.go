package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/routing"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/report"
	"github.com/celerydeck/celerydeck/internal/state"
)

const stepExplain = "explain"

// Explain answers a query for a model or for an upstream. For a model it explains to
// which upstream this daemon would route a request now. For an upstream it describes
// the upstream's state. The answer includes the fleet's conditions that mention the
// subject.
func (n *Node) Explain(ctx context.Context, q protocol.ExplainQuery) (protocol.Explanation, error) {
	e := protocol.Explanation{Daemon: n.opts.Self, Facts: []string{}, Conditions: []protocol.Condition{}}
	if (q.Model == "") == (q.Upstream == "") {
		return e, protocol.Errorf(protocol.KindBadRequest, stepExplain, protocol.OutcomeNotRun, "name either a model or an upstream")
	}
	view := n.Collect(ctx, protocol.StatusQuery{})
	for _, m := range view.Missing {
		e.Missing = append(e.Missing, string(m.Daemon))
	}
	var err error
	if q.Model != "" {
		err = n.explainModel(&e, q)
	} else {
		err = n.explainUpstream(&e, q.Upstream, &view)
	}
	if err != nil {
		return e, err
	}
	for _, c := range report.Conditions(report.Input{Fleet: view}) {
		if strings.Contains(c.Subject, e.Subject) || strings.Contains(c.Detail, e.Subject) {
			e.Conditions = append(e.Conditions, c)
		}
	}
	return e, nil
}

// explainModel adds the routing decision for a request and its candidates.
func (n *Node) explainModel(e *protocol.Explanation, q protocol.ExplainQuery) error {
	catalog := n.opts.Catalog()
	if catalog == nil {
		return protocol.Errorf(protocol.KindUnavailable, stepExplain, protocol.OutcomeNotRun, "no configuration is in force")
	}
	req, service, err := n.routingRequest(e, catalog, q)
	if err != nil {
		return err
	}
	rank := service.DefaultRank
	if q.Rank != "" {
		rank = q.Rank
	}
	position, ok := catalog.RankByName(rank)
	if !ok {
		return protocol.Errorf(protocol.KindNotFound, stepExplain, protocol.OutcomeNotRun, "no rank %q", rank)
	}
	req.Rank = position
	e.Facts = append(e.Facts,
		fmt.Sprintf("configuration revision %d is in force here", catalog.Revision),
		fmt.Sprintf("rank %s is %d of %d in urgency", rank, position+1, len(catalog.Ranks())))
	choice := n.opts.Router.Pick(n.opts.Clock(), req)
	if choice.Upstream != nil {
		e.Chosen = string(choice.Upstream.ID)
	} else {
		e.Facts = append(e.Facts, "no upstream can take the request now")
	}
	e.Candidates = n.candidates(req, e.Chosen)
	return nil
}

// routingRequest returns the request that the router receives for a query, and the
// service of the request. It also adds the subject of the query and facts about it to
// the explanation.
func (n *Node) routingRequest(e *protocol.Explanation, catalog *state.Catalog, q protocol.ExplainQuery) (*routing.Request, *deckconfig.Service, error) {
	req := &routing.Request{Zone: n.opts.Zone, Region: n.opts.Region}
	if service := catalog.Service(state.ServiceID(q.Model)); service != nil && service.Kind == deckconfig.PlainService {
		e.Subject = q.Model
		req.Service = state.ServiceID(service.Name)
		if service.NonRepeatable {
			e.Facts = append(e.Facts, "calls run at most once")
		}
		return req, service, nil
	}
	ref, err := state.ParseAdapterRef(q.Model)
	if err != nil {
		return nil, nil, protocol.Errorf(protocol.KindBadRequest, stepExplain, protocol.OutcomeNotRun, "%q is no plain service, and as a model: %v", q.Model, err)
	}
	resolved, version, ok := catalog.Resolve(ref)
	service := catalog.Service(ref.Service)
	if !ok || service == nil {
		return nil, nil, protocol.Errorf(protocol.KindNotFound, stepExplain, protocol.OutcomeNotRun, "no adapter %q", q.Model)
	}
	e.Subject = resolved.String()
	if ref.Version == "" {
		e.Facts = append(e.Facts, fmt.Sprintf("%s resolves to its default version %s", ref, resolved.Version))
	}
	e.Facts = append(e.Facts, fmt.Sprintf("weights at %s", version.Source))
	req.Adapter, req.Base, req.Service = resolved, service.BaseModel, ref.Service
	return req, service, nil
}

// candidates returns the upstreams that serve the service or base model of a request,
// in the order of candidateOrder.
func (n *Node) candidates(req *routing.Request, chosen string) []protocol.Candidate {
	var list []protocol.Candidate
	for _, u := range n.opts.Fleet.All() {
		if !servesRequest(u, req) {
			continue
		}
		c := protocol.Candidate{
			Upstream: u.ID, Zone: u.Zone, Owner: u.Owner,
			Resident: !req.Adapter.IsZero() && u.HasResident(req.Adapter),
			Running:  u.Running, Queued: u.Queued,
		}
		c.Reason = n.ineligibleReason(u)
		c.Eligible = c.Reason == ""
		if c.Eligible {
			c.Reason = eligibleReason(u, c.Resident, string(u.ID) == chosen)
		}
		list = append(list, c)
	}
	slices.SortStableFunc(list, func(a, b protocol.Candidate) int { return candidateOrder(a, chosen) - candidateOrder(b, chosen) })
	return list
}

// candidateOrder returns the sort key of a candidate: the chosen upstream comes first,
// then eligible upstreams that have the adapter resident, other eligible upstreams, and
// upstreams that are not eligible.
func candidateOrder(c protocol.Candidate, chosen string) int {
	switch {
	case string(c.Upstream) == chosen:
		return 0
	case c.Eligible && c.Resident:
		return 1
	case c.Eligible:
		return 2
	}
	return 3
}

// servesRequest reports whether an upstream serves the service or base model of a
// request, regardless of its state.
func servesRequest(u *state.Upstream, req *routing.Request) bool {
	if req.Adapter.IsZero() {
		return u.Kind == state.KindPlain && u.Service == req.Service
	}
	return u.Kind == state.KindEngine && u.Base == req.Base
}

// ineligibleReason returns why an upstream is not eligible for new requests, or "" if
// it is eligible.
func (n *Node) ineligibleReason(u *state.Upstream) string {
	switch {
	case n.Drained(u.ID):
		return "drained by operators"
	case u.Leaving:
		return "leaving"
	case u.Owner == "":
		return "no owner"
	case !u.Healthy:
		return "does not answer its owner"
	case u.Role == state.RolePrefill:
		return "has the role of prefill only"
	}
	if entry := n.opts.Fleet.Entry(u.ID); entry != nil && entry.Gate() != state.GateOpen {
		return fmt.Sprintf("ejected here after failures, gate %s", entry.Gate())
	}
	return ""
}

// eligibleReason returns why an eligible upstream was chosen or not.
func eligibleReason(u *state.Upstream, resident, chosen bool) string {
	switch {
	case chosen && resident:
		return "chosen: the adapter is loaded"
	case chosen && u.Kind == state.KindPlain:
		return "chosen: least loaded"
	case chosen:
		return "chosen: first in the adapter's order, will load the adapter"
	case resident:
		return "the adapter is loaded, the chosen one is expected to be sooner"
	}
	return "not chosen: would wait longer or load the adapter once more"
}

// explainUpstream adds the facts about an upstream.
func (n *Node) explainUpstream(e *protocol.Explanation, id state.UpstreamID, view *protocol.FleetView) error {
	e.Subject = string(id)
	u, owned := findUpstream(view, id)
	if !owned {
		listed := n.opts.Fleet.Get(id)
		if listed == nil {
			return protocol.Errorf(protocol.KindNotFound, stepExplain, protocol.OutcomeNotRun, "no upstream %q", id)
		}
		u = upstreamFromFleet(listed)
	}
	e.Facts = append(e.Facts, ownerFact(u, owned),
		fmt.Sprintf("%s in %s, %s", u.Kind, u.Zone, report.UpstreamState(u)),
		fmt.Sprintf("%d running and %d queued, batch of %d", u.Running, u.Queued, u.Batch))
	if u.Kind == protocol.UpstreamEngine {
		e.Facts = append(e.Facts, fencingFact(u), fmt.Sprintf("%d of %d slots hold adapters: %s", len(u.Resident), u.Slots, strings.Join(u.Resident, ", ")))
	}
	for _, d := range view.Drains {
		if d.Kind == protocol.DrainUpstream && d.Subject == string(id) {
			e.Facts = append(e.Facts, fmt.Sprintf("drained by %s: %s", d.Author, d.Reason))
		}
	}
	return nil
}

// findUpstream returns the status of an upstream as its owner reports it, and false if
// no daemon that answered owns the upstream.
func findUpstream(view *protocol.FleetView, id state.UpstreamID) (protocol.OwnedUpstream, bool) {
	for _, d := range view.Daemons {
		for _, u := range d.Upstreams {
			if u.ID == id {
				return u, true
			}
		}
	}
	return protocol.OwnedUpstream{}, false
}

// ownerFact describes which daemon owns an upstream. The parameter owned is set if the
// owner has answered.
func ownerFact(u protocol.OwnedUpstream, owned bool) string {
	if !owned {
		return fmt.Sprintf("no answering daemon owns it, last known owner %q", u.Owner)
	}
	return fmt.Sprintf("owned by %s with epoch %d", u.Owner, u.Epoch)
}

// fencingFact describes whether an engine rejects orders with an outdated fencing
// token.
func fencingFact(u protocol.OwnedUpstream) string {
	if u.SupportsFencing {
		return "refuses orders with an old fencing number"
	}
	return "takes orders with any fencing number, so unloads are written down before they are ordered"
}

func adapterNames(refs []state.AdapterRef) []string {
	names := make([]string, len(refs))
	for i, ref := range refs {
		names[i] = ref.String()
	}
	return names
}

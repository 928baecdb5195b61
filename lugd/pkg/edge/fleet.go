package edge

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/lugd/pkg/certificate"
	"marigoldlug.example/lugd/pkg/peer"
	"marigoldlug.example/lugd/service/api"
)

// fleet provides the operator API with the state of the VMs and targets.
type fleet struct {
	dmn *Daemon
}

// members returns the IDs of the listed VMs.
func (fle *fleet) members() []string {
	var ids []string
	fle.dmn.driver.WithMachine(func(mac *gateway.Machine, _ clock.Instant) {
		for _, vmm := range mac.View().VMs() {
			ids = append(ids, vmm.ID)
		}
	})
	return ids
}

// states queries every VM of members for its state and returns the states of those that
// answer, with that of this VM.
func (fle *fleet) states(ctx context.Context, members []string) []peer.State {
	others := slices.DeleteFunc(slices.Clone(members), func(id string) bool { return id == fle.dmn.self.ID })
	return append(fle.dmn.transport.QueryStates(ctx, others), fle.dmn.driver.State())
}

// VMs returns the states of the listed VMs that answer, sorted by ID.
func (fle *fleet) VMs(ctx context.Context) []api.VM {
	var out []api.VM
	for _, sta := range fle.states(ctx, fle.members()) {
		out = append(out, api.ConvertState(sta))
	}
	slices.SortFunc(out, func(one, two api.VM) int { return strings.Compare(one.ID, two.ID) })
	return out
}

// Targets returns the targets as this VM sees them.
func (fle *fleet) Targets() []api.Target {
	var out []api.Target
	fle.dmn.driver.WithMachine(func(mac *gateway.Machine, now clock.Instant) {
		for _, tgt := range mac.Targets(now) {
			out = append(out, api.ConvertTarget(tgt))
		}
	})
	return out
}

// maxContents bounds the contents that are listed.
const maxContents = 200

// Contents returns the contents of requests that have crashed targets, as this VM knows them.
func (fle *fleet) Contents() []api.Content {
	out := []api.Content{}
	fle.dmn.driver.WithMachine(func(mac *gateway.Machine, now clock.Instant) {
		for _, con := range mac.Contents(now, maxContents) {
			out = append(out, api.ConvertContent(con))
		}
	})
	return out
}

// Domains returns the failure domains as this VM sees them.
func (fle *fleet) Domains() []api.Domain {
	out := []api.Domain{}
	fle.dmn.driver.WithMachine(func(mac *gateway.Machine, now clock.Instant) {
		for _, dom := range mac.Domains(now) {
			out = append(out, api.ConvertDomain(dom))
		}
	})
	return out
}

// Rollout returns how many of the listed VMs hold a version, by what they report.
func (fle *fleet) Rollout(ctx context.Context, version uint64) api.Rollout {
	members := fle.members()
	return api.NewRollout(version, members, fle.states(ctx, members))
}

// requireOperator rejects requests without an operator's client certificate (403).
func requireOperator(han http.Handler) http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		if !certificate.IsOperator(req.TLS) {
			wrt.WriteHeader(http.StatusForbidden)
			return
		}
		han.ServeHTTP(wrt, req)
	})
}

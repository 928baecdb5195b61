package api

import (
	"errors"

	"marigoldlug.example/core/note"
	"marigoldlug.example/lugd/pkg/peer"
	"marigoldlug.example/lugd/pkg/release"
)

// ConvertResult converts a release that was just written.
func ConvertResult(res release.Result) Release {
	return Release{ID: res.ID, Version: res.Version, Repeated: res.Repeated}
}

// ConvertHistory converts the history of releases.
func ConvertHistory(ens []release.Entry, version uint64) History {
	his := History{Version: version, Releases: make([]Release, 0, len(ens))}
	for _, ent := range ens {
		his.Releases = append(his.Releases, Release{ID: ent.ID, Version: ent.Version, Operator: ent.Operator, Time: ent.Time})
	}
	return his
}

// ConvertDifferences converts what a note would change.
func ConvertDifferences(difs []note.Difference) CheckResult {
	res := CheckResult{Differences: make([]Difference, 0, len(difs))}
	for _, dif := range difs {
		res.Differences = append(res.Differences, Difference(dif))
	}
	return res
}

// ConvertState converts what a VM says of itself.
func ConvertState(sta peer.State) VM {
	return VM{
		ID:              sta.VM.ID,
		Address:         sta.VM.Address,
		FailureDomain:   sta.VM.FailureDomain,
		Version:         sta.Version,
		Release:         sta.Release,
		Epoch:           sta.Epoch,
		Members:         sta.Members,
		Ready:           sta.Ready,
		LeaseActive:     sta.Active,
		ProofAgeSeconds: sta.ProofAge.Seconds(),
		Requests:        sta.Requests,
		Ejected:         sta.Ejected,
	}
}

// ConvertStates returns the spread of a version by the states of the members
// that answered.
func ConvertStates(version uint64, members []string, states []peer.State) Spread {
	out := Spread{Version: version, Members: len(members)}
	holding := make(map[string]bool)
	for _, sta := range states {
		out.Accepted = out.Accepted || sta.Accepted >= version
		holding[sta.VM.ID] = sta.Version >= version
	}
	for _, id := range members {
		if holding[id] {
			out.Holding++
		} else {
			out.Lagging = append(out.Lagging, id)
		}
	}
	out.InForce = out.Accepted && out.Holding == out.Members
	return out
}

// ConvertError converts the error of a release to its wire form.
func ConvertError(err error) *Error {
	out := &Error{Code: CodeUnavailable, Message: err.Error()}
	var faults note.FaultsError
	var conflict *note.ConflictError
	var base *release.BaseError
	switch {
	case errors.As(err, &faults):
		out.Code = CodeFaults
		for _, flt := range faults {
			out.Faults = append(out.Faults, Fault(flt))
		}
	case errors.As(err, &conflict):
		out.Code = CodeConflict
		for _, con := range conflict.Conflicts {
			out.Conflicts = append(out.Conflicts, Conflict(con))
		}
	case errors.As(err, &base):
		out.Code = CodeBase
	case errors.Is(err, release.ErrReused):
		out.Code = CodeReused
	}
	return out
}

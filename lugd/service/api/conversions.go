package api

import (
	"errors"

	"marigoldlug.example/core/fence"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/node"
	"marigoldlug.example/core/note"
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

// ConvertStatus converts the state of one VM.
func ConvertStatus(self member.VM, sta node.Status, ready bool) VM {
	return VM{
		ID:              self.ID,
		Address:         self.Address,
		FailureDomain:   self.FailureDomain,
		Version:         sta.Version,
		Release:         sta.Release,
		Epoch:           sta.Epoch,
		Members:         sta.Members,
		Ready:           ready,
		LeaseActive:     sta.Active,
		ProofAgeSeconds: sta.ProofAge.Seconds(),
		Requests:        sta.Flights,
		Ejected:         sta.Ejected,
	}
}

// ConvertSpread converts what a VM knows of the spread of a version. A VM that
// holds a later version knows that all holders of it hold the version, too.
func ConvertSpread(version uint64, spr fence.Spread, sta node.Status) Spread {
	out := Spread{Version: version, Members: spr.Members, Accepted: sta.Accepted >= version}
	if spr.Version < version {
		return out
	}
	out.Holding = spr.Holding
	out.Lagging = spr.Lagging
	out.InForce = out.Accepted && spr.Holding == spr.Members
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

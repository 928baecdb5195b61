package peer

import (
	"marigoldlug.example/core/drain"
	"marigoldlug.example/core/revision"
)

func (wrt *writer) drains(rep drain.Report) {
	wrt.unsigned(kindDrains)
	wrt.era(revision.EraOf(rep.Revision))
	wrt.unsigned(revision.Number(rep.Revision))
	wrt.texts(rep.Shown)
	wrt.count(len(rep.Retained))
	for _, ret := range rep.Retained {
		wrt.text(ret.Domain)
		wrt.duration(ret.Left)
	}
}

func (rdr *reader) drains() drain.Report {
	rep := drain.Report{Revision: revision.Join(rdr.era(), rdr.number()), Shown: rdr.texts()}
	for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
		rep.Retained = append(rep.Retained, drain.Retained{Domain: rdr.text(), Left: rdr.duration()})
	}
	return rep
}

package peer

import (
	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/balance"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/rate"
)

// encodePlacementMessage encodes a message of package placement, and reports whether msg is one.
func (wrt *writer) encodePlacementMessage(msg any) bool {
	switch msg := msg.(type) {
	case placement.Query:
		wrt.query(msg)
	case placement.Answer:
		wrt.answer(msg)
	case placement.Ended:
		wrt.unsigned(kindPlacementEnded)
		wrt.count(len(msg.Ends))
		for _, end := range msg.Ends {
			wrt.text(end.Service)
			wrt.signed(int64(end.Partition))
			wrt.unsigned(end.Number)
			wrt.signed(int64(end.Outcome))
		}
	case placement.Track:
		wrt.unsigned(kindPlacementTrack)
		wrt.count(len(msg.Attempts))
		for _, att := range msg.Attempts {
			wrt.text(att.Service)
			wrt.signed(int64(att.Partition))
			wrt.unsigned(att.Number)
			wrt.text(att.Target)
			wrt.text(att.Route)
			wrt.duration(att.Age)
			wrt.duration(att.TimeLeft)
		}
	case placement.PathsLost:
		wrt.unsigned(kindPathsLost)
		wrt.text(msg.Service)
		wrt.signed(int64(msg.Partition))
	case placement.Announced:
		wrt.unsigned(kindPlacementAnnounced)
		wrt.reports(msg.Reports)
	default:
		return false
	}
	return true
}

func (wrt *writer) query(msg placement.Query) {
	switch {
	case msg.Criteria.PathsLost:
		wrt.unsigned(kindPathsLostQuery)
	case msg.Criteria.Suspected:
		wrt.unsigned(kindSuspectedQuery)
	default:
		wrt.unsigned(kindPlacementQuery)
	}
	wrt.text(msg.Service)
	wrt.signed(int64(msg.Partition))
	wrt.unsigned(msg.Number)
	wrt.criteria(msg.Criteria)
	if msg.Criteria.PathsLost {
		wrt.boolean(msg.Criteria.Suspected)
	}
	// Older builds end here, and so does a query without any of the rest.
	if flags := queryFlags(msg.Criteria); flags != 0 || msg.Criteria.Caller != 0 {
		wrt.unsigned(uint64(msg.Criteria.Caller))
		wrt.unsigned(flags)
	}
}

// The flags at the end of a query. Unknown ones are ignored.
const (
	flagLargeResponse = 1 << iota
	flagMayHaveRun
)

func queryFlags(cri placement.Criteria) (flags uint64) {
	if cri.LargeResponse {
		flags |= flagLargeResponse
	}
	if cri.MayHaveRun {
		flags |= flagMayHaveRun
	}
	return flags
}

func (rdr *reader) query(kind uint64) placement.Query {
	msg := placement.Query{Service: rdr.text(), Partition: int(rdr.signed()), Number: rdr.unsigned(), Criteria: rdr.criteria()}
	msg.Criteria.Suspected = kind == kindSuspectedQuery
	if kind == kindPathsLostQuery {
		msg.Criteria.PathsLost, msg.Criteria.Suspected = true, rdr.boolean()
	}
	if rdr.err == nil && rdr.src.Len() > 0 {
		msg.Criteria.Caller = uint16(rdr.unsigned())
		flags := rdr.unsigned()
		msg.Criteria.LargeResponse, msg.Criteria.MayHaveRun = flags&flagLargeResponse != 0, flags&flagMayHaveRun != 0
	}
	return msg
}

func (wrt *writer) answer(ans placement.Answer) {
	extended := ans.Announced != nil || ans.Limits != 0 || ans.Forwarder != ""
	switch {
	case ans.Forwarder != "":
		wrt.unsigned(kindForwardedAnswer)
	case extended:
		wrt.unsigned(kindAnnouncedAnswer)
	default:
		wrt.unsigned(kindPlacementAnswer)
	}
	wrt.unsigned(ans.Number)
	wrt.text(ans.Target)
	wrt.duration(ans.HedgeAfter)
	wrt.duration(ans.ReplaceAfter)
	wrt.duration(ans.RetryAfter)
	wrt.text(string(ans.Reason))
	if extended {
		wrt.extension(ans)
	}
	if ans.Load.Known() {
		wrt.unsigned(uint64(ans.Load)) // At the end, where older programs do not read.
	}
}

// extension encodes the fields that a kindPlacementAnswer has not.
func (wrt *writer) extension(ans placement.Answer) {
	wrt.signed(int64(ans.Limits))
	var rps []announcement.Report
	if ans.Announced != nil {
		rps = append(rps, *ans.Announced)
	}
	wrt.reports(rps)
	if ans.Forwarder != "" {
		wrt.text(ans.Forwarder)
	}
}

func (wrt *writer) reports(rps []announcement.Report) {
	wrt.count(len(rps))
	for _, rep := range rps {
		wrt.text(rep.Run.Target)
		wrt.signed(rep.Run.Born)
		wrt.boolean(rep.Limit.Limited)
		wrt.signed(int64(rep.Limit.Rate))
		wrt.boolean(rep.Leaving)
		wrt.duration(rep.SentAge)
		wrt.duration(rep.HeardAge)
	}
}

func (wrt *writer) criteria(cri placement.Criteria) {
	wrt.text(cri.Route)
	wrt.text(cri.Domain)
	wrt.boolean(cri.Idempotent)
	wrt.boolean(cri.Retry)
	wrt.boolean(cri.Hedge)
	wrt.duration(cri.TimeToGoal)
	wrt.duration(cri.TimeLeft)
	wrt.texts(cri.Tried)
	wrt.signed(int64(cri.Priority))
}

// decodePlacementMessage decodes a message of package placement; it returns nil if the kind
// is unknown.
func (rdr *reader) decodePlacementMessage(kind uint64) any {
	switch kind {
	case kindPlacementQuery, kindSuspectedQuery, kindPathsLostQuery:
		return rdr.query(kind)
	case kindPlacementAnswer, kindAnnouncedAnswer, kindForwardedAnswer:
		return rdr.answer(kind)
	case kindPathsLost:
		return placement.PathsLost{Service: rdr.text(), Partition: int(rdr.signed())}
	case kindPlacementAnnounced:
		return placement.Announced{Reports: rdr.reports()}
	case kindPlacementEnded:
		var msg placement.Ended
		for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
			msg.Ends = append(msg.Ends, placement.End{
				Service: rdr.text(), Partition: int(rdr.signed()), Number: rdr.unsigned(), Outcome: health.Outcome(rdr.signed()),
			})
		}
		return msg
	case kindPlacementTrack:
		var msg placement.Track
		for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
			msg.Attempts = append(msg.Attempts, placement.RunningAttempt{
				Service: rdr.text(), Partition: int(rdr.signed()), Number: rdr.unsigned(), Target: rdr.text(), Route: rdr.text(),
				Age: rdr.duration(), TimeLeft: rdr.duration(),
			})
		}
		return msg
	}
	return nil
}

func (rdr *reader) answer(kind uint64) placement.Answer {
	ans := placement.Answer{
		Number: rdr.unsigned(), Target: rdr.text(), HedgeAfter: rdr.duration(), ReplaceAfter: rdr.duration(), RetryAfter: rdr.duration(), Reason: placement.Reason(rdr.text()),
	}
	if kind != kindPlacementAnswer {
		ans.Limits = rate.PerSecond(rdr.signed())
		if rps := rdr.reports(); len(rps) > 0 {
			ans.Announced = &rps[0]
		}
	}
	if kind == kindForwardedAnswer {
		ans.Forwarder = rdr.text()
	}
	if rdr.err == nil && rdr.src.Len() > 0 {
		ans.Load = balance.Bounded(rdr.unsigned())
	}
	return ans
}

func (rdr *reader) reports() []announcement.Report {
	var out []announcement.Report
	for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
		out = append(out, announcement.Report{
			Run:   health.Run{Target: rdr.text(), Born: rdr.signed()},
			Limit: announcement.Limit{Limited: rdr.boolean(), Rate: rate.PerSecond(rdr.signed())}, Leaving: rdr.boolean(),
			SentAge: rdr.duration(), HeardAge: rdr.duration(),
		})
	}
	return out
}

func (rdr *reader) criteria() placement.Criteria {
	return placement.Criteria{
		Route: rdr.text(), Domain: rdr.text(), Idempotent: rdr.boolean(), Retry: rdr.boolean(), Hedge: rdr.boolean(), TimeToGoal: rdr.duration(), TimeLeft: rdr.duration(),
		Tried: rdr.texts(), Priority: int(rdr.signed()),
	}
}

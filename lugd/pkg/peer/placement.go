package peer

import (
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/placement"
)

// encodePlacementMessage encodes a message of package placement, and reports whether msg is one.
func (wrt *writer) encodePlacementMessage(msg any) bool {
	switch msg := msg.(type) {
	case placement.Query:
		wrt.unsigned(kindPlacementQuery)
		wrt.text(msg.Service)
		wrt.signed(int64(msg.Partition))
		wrt.unsigned(msg.Number)
		wrt.criteria(msg.Criteria)
	case placement.Answer:
		wrt.unsigned(kindPlacementAnswer)
		wrt.unsigned(msg.Number)
		wrt.text(msg.Target)
		wrt.duration(msg.HedgeAfter)
		wrt.duration(msg.ReplaceAfter)
		wrt.duration(msg.RetryAfter)
		wrt.text(string(msg.Reason))
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
	default:
		return false
	}
	return true
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
	case kindPlacementQuery:
		return placement.Query{Service: rdr.text(), Partition: int(rdr.signed()), Number: rdr.unsigned(), Criteria: rdr.criteria()}
	case kindPlacementAnswer:
		return placement.Answer{
			Number: rdr.unsigned(), Target: rdr.text(), HedgeAfter: rdr.duration(), ReplaceAfter: rdr.duration(), RetryAfter: rdr.duration(), Reason: placement.Reason(rdr.text()),
		}
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

func (rdr *reader) criteria() placement.Criteria {
	return placement.Criteria{
		Route: rdr.text(), Domain: rdr.text(), Idempotent: rdr.boolean(), Retry: rdr.boolean(), Hedge: rdr.boolean(), TimeToGoal: rdr.duration(), TimeLeft: rdr.duration(),
		Tried: rdr.texts(), Priority: int(rdr.signed()),
	}
}

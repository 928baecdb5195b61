package peer

import (
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/placement"
)

func (wrt *writer) placement(msg any) bool {
	switch msg := msg.(type) {
	case placement.Query:
		wrt.number(kindPlaceAsk)
		wrt.text(msg.Service)
		wrt.whole(int64(msg.Partition))
		wrt.number(msg.Number)
		wrt.wish(msg.Criteria)
	case placement.Answer:
		wrt.number(kindPlaceAnswer)
		wrt.number(msg.Number)
		wrt.text(msg.Target)
		wrt.duration(msg.HedgeAfter)
		wrt.duration(msg.ReplaceAfter)
		wrt.duration(msg.RetryAfter)
		wrt.text(string(msg.Reason))
	case placement.Ended:
		wrt.number(kindPlaceEnded)
		wrt.count(len(msg.Ends))
		for _, end := range msg.Ends {
			wrt.text(end.Service)
			wrt.whole(int64(end.Partition))
			wrt.number(end.Number)
			wrt.whole(int64(end.Outcome))
		}
	case placement.Track:
		wrt.number(kindPlaceOpen)
		wrt.count(len(msg.Attempts))
		for _, run := range msg.Attempts {
			wrt.text(run.Service)
			wrt.whole(int64(run.Partition))
			wrt.number(run.Number)
			wrt.text(run.Target)
			wrt.text(run.Route)
			wrt.duration(run.Age)
			wrt.duration(run.TimeLeft)
		}
	default:
		return false
	}
	return true
}

func (wrt *writer) wish(wis placement.Criteria) {
	wrt.text(wis.Route)
	wrt.text(wis.Domain)
	wrt.boolean(wis.Idempotent)
	wrt.boolean(wis.Retry)
	wrt.boolean(wis.Hedge)
	wrt.duration(wis.TimeToGoal)
	wrt.duration(wis.TimeLeft)
	wrt.texts(wis.Tried)
	wrt.whole(int64(wis.Priority))
}

func (rdr *reader) placement(kind uint64) any {
	switch kind {
	case kindPlaceAsk:
		return placement.Query{Service: rdr.text(), Partition: int(rdr.whole()), Number: rdr.number(), Criteria: rdr.wish()}
	case kindPlaceAnswer:
		return placement.Answer{
			Number: rdr.number(), Target: rdr.text(), HedgeAfter: rdr.duration(), ReplaceAfter: rdr.duration(), RetryAfter: rdr.duration(), Reason: placement.Reason(rdr.text()),
		}
	case kindPlaceEnded:
		var msg placement.Ended
		for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
			msg.Ends = append(msg.Ends, placement.End{
				Service: rdr.text(), Partition: int(rdr.whole()), Number: rdr.number(), Outcome: health.Outcome(rdr.whole()),
			})
		}
		return msg
	case kindPlaceOpen:
		var msg placement.Track
		for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
			msg.Attempts = append(msg.Attempts, placement.RunningAttempt{
				Service: rdr.text(), Partition: int(rdr.whole()), Number: rdr.number(), Target: rdr.text(), Route: rdr.text(),
				Age: rdr.duration(), TimeLeft: rdr.duration(),
			})
		}
		return msg
	}
	return nil
}

func (rdr *reader) wish() placement.Criteria {
	return placement.Criteria{
		Route: rdr.text(), Domain: rdr.text(), Idempotent: rdr.boolean(), Retry: rdr.boolean(), Hedge: rdr.boolean(), TimeToGoal: rdr.duration(), TimeLeft: rdr.duration(),
		Tried: rdr.texts(), Priority: int(rdr.whole()),
	}
}

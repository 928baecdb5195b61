package peer

import (
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/placement"
)

func (wrt *writer) placement(msg any) bool {
	switch msg := msg.(type) {
	case placement.Ask:
		wrt.number(kindPlaceAsk)
		wrt.text(msg.Service)
		wrt.whole(int64(msg.Part))
		wrt.number(msg.Number)
		wrt.wish(msg.Wish)
	case placement.Answer:
		wrt.number(kindPlaceAnswer)
		wrt.number(msg.Number)
		wrt.text(msg.Target)
		wrt.duration(msg.Patience)
		wrt.duration(msg.Limit)
		wrt.duration(msg.RetryAfter)
		wrt.text(string(msg.Reason))
	case placement.Ended:
		wrt.number(kindPlaceEnded)
		wrt.count(len(msg.Ends))
		for _, end := range msg.Ends {
			wrt.text(end.Service)
			wrt.whole(int64(end.Part))
			wrt.number(end.Number)
			wrt.whole(int64(end.Outcome))
		}
	case placement.Open:
		wrt.number(kindPlaceOpen)
		wrt.count(len(msg.List))
		for _, run := range msg.List {
			wrt.text(run.Service)
			wrt.whole(int64(run.Part))
			wrt.number(run.Number)
			wrt.text(run.Target)
			wrt.text(run.Route)
			wrt.duration(run.Age)
			wrt.duration(run.Left)
		}
	default:
		return false
	}
	return true
}

func (wrt *writer) wish(wis placement.Wish) {
	wrt.text(wis.Route)
	wrt.text(wis.Domain)
	wrt.boolean(wis.Idempotent)
	wrt.boolean(wis.Again)
	wrt.boolean(wis.Hedge)
	wrt.duration(wis.Aim)
	wrt.duration(wis.Left)
	wrt.texts(wis.Tried)
	wrt.whole(int64(wis.Rank))
}

func (rdr *reader) placement(kind uint64) any {
	switch kind {
	case kindPlaceAsk:
		return placement.Ask{Service: rdr.text(), Part: int(rdr.whole()), Number: rdr.number(), Wish: rdr.wish()}
	case kindPlaceAnswer:
		return placement.Answer{
			Number: rdr.number(), Target: rdr.text(), Patience: rdr.duration(), Limit: rdr.duration(), RetryAfter: rdr.duration(), Reason: placement.Reason(rdr.text()),
		}
	case kindPlaceEnded:
		var msg placement.Ended
		for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
			msg.Ends = append(msg.Ends, placement.End{
				Service: rdr.text(), Part: int(rdr.whole()), Number: rdr.number(), Outcome: health.Outcome(rdr.whole()),
			})
		}
		return msg
	case kindPlaceOpen:
		var msg placement.Open
		for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
			msg.List = append(msg.List, placement.Running{
				Service: rdr.text(), Part: int(rdr.whole()), Number: rdr.number(), Target: rdr.text(), Route: rdr.text(),
				Age: rdr.duration(), Left: rdr.duration(),
			})
		}
		return msg
	}
	return nil
}

func (rdr *reader) wish() placement.Wish {
	return placement.Wish{
		Route: rdr.text(), Domain: rdr.text(), Idempotent: rdr.boolean(), Again: rdr.boolean(), Hedge: rdr.boolean(), Aim: rdr.duration(), Left: rdr.duration(),
		Tried: rdr.texts(), Rank: int(rdr.whole()),
	}
}

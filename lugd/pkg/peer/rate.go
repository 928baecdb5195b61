package peer

import "marigoldlug.example/core/rate"

func (wrt *writer) rate(msg any) bool {
	switch msg := msg.(type) {
	case rate.Ask:
		wrt.number(kindAsk)
		wrt.text(msg.Organisation)
		wrt.number(msg.Round)
		wrt.whole(int64(msg.Need))
		wrt.whole(int64(msg.Demand))
		wrt.limit(msg.Held)
	case rate.Transfer:
		wrt.number(kindTransfer)
		wrt.text(msg.Organisation)
		wrt.number(msg.Round)
		wrt.number(msg.Number)
		wrt.whole(int64(msg.Grant.Rate))
		wrt.whole(int64(msg.Grant.Burst))
		wrt.whole(int64(msg.Grant.Tokens))
		wrt.boolean(msg.Answer)
		wrt.duration(msg.RetryAfter)
	case rate.Ack:
		wrt.number(kindAck)
		wrt.text(msg.Organisation)
		wrt.number(msg.Number)
	case rate.Deny:
		wrt.number(kindDeny)
		wrt.text(msg.Organisation)
		wrt.number(msg.Round)
		wrt.duration(msg.RetryAfter)
		wrt.boolean(msg.Behind)
	case rate.Survey:
		wrt.number(kindSurvey)
		wrt.number(msg.Epoch)
		wrt.number(msg.Version)
	case rate.Holdings:
		wrt.holdings(msg)
	default:
		return false
	}
	return true
}

func (wrt *writer) limit(lim rate.Limit) {
	wrt.whole(int64(lim.Rate))
	wrt.whole(int64(lim.Burst))
}

func (wrt *writer) holdings(msg rate.Holdings) {
	wrt.number(kindHoldings)
	wrt.number(msg.Epoch)
	wrt.number(msg.Version)
	wrt.count(len(msg.List))
	for _, hol := range msg.List {
		wrt.text(hol.Organisation)
		wrt.number(hol.Round)
		wrt.limit(hol.Entered)
	}
}

func (rdr *reader) rate(kind uint64) any {
	switch kind {
	case kindAsk:
		return rate.Ask{
			Organisation: rdr.text(), Round: rdr.number(), Need: rate.Tokens(rdr.whole()),
			Demand: rate.PerSecond(rdr.whole()), Held: rdr.limit(),
		}
	case kindTransfer:
		return rate.Transfer{
			Organisation: rdr.text(), Round: rdr.number(), Number: rdr.number(),
			Grant:  rate.Grant{Rate: rate.PerSecond(rdr.whole()), Burst: rate.Tokens(rdr.whole()), Tokens: rate.Tokens(rdr.whole())},
			Answer: rdr.boolean(), RetryAfter: rdr.duration(),
		}
	case kindAck:
		return rate.Ack{Organisation: rdr.text(), Number: rdr.number()}
	case kindDeny:
		return rate.Deny{Organisation: rdr.text(), Round: rdr.number(), RetryAfter: rdr.duration(), Behind: rdr.boolean()}
	case kindSurvey:
		return rate.Survey{Epoch: rdr.number(), Version: rdr.number()}
	case kindHoldings:
		return rdr.holdings()
	}
	return nil
}

func (rdr *reader) limit() rate.Limit {
	return rate.Limit{Rate: rate.PerSecond(rdr.whole()), Burst: rate.Tokens(rdr.whole())}
}

func (rdr *reader) holdings() rate.Holdings {
	msg := rate.Holdings{Epoch: rdr.number(), Version: rdr.number()}
	for range rdr.count() {
		msg.List = append(msg.List, rate.Holding{Organisation: rdr.text(), Round: rdr.number(), Entered: rdr.limit()})
		if rdr.err != nil {
			break
		}
	}
	return msg
}

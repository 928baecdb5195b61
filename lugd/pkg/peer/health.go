package peer

import "marigoldlug.example/core/health"

func (wrt *writer) health(msg any) bool {
	switch msg := msg.(type) {
	case health.Digest:
		wrt.digest(msg)
	case health.Verdict:
		wrt.verdict(msg)
	default:
		return false
	}
	return true
}

func (wrt *writer) digest(msg health.Digest) {
	wrt.number(kindDigest)
	wrt.text(msg.Service)
	wrt.number(msg.Sequence)
	wrt.duration(msg.Median)
	wrt.count(len(msg.Counts))
	for _, cnt := range msg.Counts {
		wrt.text(cnt.Target)
		wrt.whole(int64(cnt.OK))
		wrt.whole(int64(cnt.Bad))
		wrt.whole(int64(cnt.Slow))
	}
	wrt.ejections(msg.Ejected)
}

func (wrt *writer) ejections(ejs []health.Ejection) {
	wrt.count(len(ejs))
	for _, eje := range ejs {
		wrt.text(eje.Target)
		wrt.duration(eje.Left)
		wrt.whole(int64(eje.Times))
	}
}

func (wrt *writer) verdict(msg health.Verdict) {
	wrt.number(kindVerdict)
	wrt.text(msg.Service)
	wrt.duration(msg.Median)
	wrt.ejections(msg.Ejected)
	wrt.count(len(msg.Weighted))
	for _, wei := range msg.Weighted {
		wrt.text(wei.Target)
		wrt.whole(int64(wei.Percent))
	}
	wrt.boolean(msg.Working)
}

func (rdr *reader) health(kind uint64) any {
	switch kind {
	case kindDigest:
		return rdr.digest()
	case kindVerdict:
		return rdr.verdict()
	}
	return nil
}

func (rdr *reader) digest() health.Digest {
	msg := health.Digest{Service: rdr.text(), Sequence: rdr.number(), Median: rdr.duration()}
	for range rdr.count() {
		msg.Counts = append(msg.Counts, health.Counts{
			Target: rdr.text(), OK: int(rdr.whole()), Bad: int(rdr.whole()), Slow: int(rdr.whole()),
		})
		if rdr.err != nil {
			break
		}
	}
	msg.Ejected = rdr.ejections()
	return msg
}

func (rdr *reader) ejections() []health.Ejection {
	var out []health.Ejection
	for range rdr.count() {
		out = append(out, health.Ejection{Target: rdr.text(), Left: rdr.duration(), Times: int(rdr.whole())})
		if rdr.err != nil {
			break
		}
	}
	return out
}

func (rdr *reader) verdict() health.Verdict {
	msg := health.Verdict{Service: rdr.text(), Median: rdr.duration(), Ejected: rdr.ejections()}
	for range rdr.count() {
		msg.Weighted = append(msg.Weighted, health.Weighted{Target: rdr.text(), Percent: int(rdr.whole())})
		if rdr.err != nil {
			break
		}
	}
	msg.Working = rdr.boolean()
	return msg
}

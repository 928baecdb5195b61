package peer

import "marigoldlug.example/core/fence"

func (wrt *writer) fence(msg any) bool {
	switch msg := msg.(type) {
	case fence.Question:
		wrt.number(kindQuestion)
		wrt.number(msg.Sequence)
		wrt.number(msg.Epoch)
		wrt.number(msg.Version)
	case fence.Vote:
		wrt.number(kindVote)
		wrt.number(msg.Epoch)
		wrt.number(msg.Version)
		wrt.instant(msg.Stamp)
	case fence.Answer:
		wrt.number(kindAnswer)
		wrt.number(msg.Sequence)
		wrt.number(msg.Version)
		wrt.boolean(msg.Proved)
		wrt.duration(msg.Age)
		wrt.instant(msg.Stamp)
		wrt.number(msg.Accepted)
	case fence.News:
		wrt.number(kindNews)
		wrt.head(msg.Head)
	case fence.TallyQuestion:
		wrt.number(kindTallyQuestion)
		wrt.number(msg.Sequence)
		wrt.number(msg.Epoch)
		wrt.number(msg.Version)
	case fence.TallyAnswer:
		wrt.tallyAnswer(msg)
	case fence.HeadQuestion:
		wrt.number(kindHeadQuestion)
	default:
		return false
	}
	return true
}

func (wrt *writer) head(hea fence.Head) {
	wrt.number(hea.Version)
	wrt.text(hea.Release)
	wrt.number(hea.ReleaseVersion)
	wrt.raw(hea.Manifest[:])
	wrt.raw(hea.History[:])
	wrt.number(hea.LimitsVersion)
	wrt.number(hea.Epoch)
	wrt.raw(hea.View[:])
	wrt.raw(hea.PriorView[:])
	wrt.text(hea.Writer)
	wrt.number(hea.Sequence)
}

func (wrt *writer) tallyAnswer(msg fence.TallyAnswer) {
	wrt.number(kindTallyAnswer)
	wrt.number(msg.Sequence)
	wrt.number(msg.Epoch)
	wrt.text(msg.Domain)
	wrt.number(msg.Version)
	wrt.count(len(msg.Ages))
	for _, cnt := range msg.Ages {
		wrt.whole(int64(cnt))
	}
	wrt.number(msg.Asked)
	wrt.whole(int64(msg.Holding))
	wrt.whole(int64(msg.HoldingPrior))
	wrt.texts(msg.Lagging)
	wrt.texts(msg.Silent)
	wrt.number(msg.Accepted)
}

func (rdr *reader) fence(kind uint64) any {
	switch kind {
	case kindQuestion:
		return fence.Question{Sequence: rdr.number(), Epoch: rdr.number(), Version: rdr.number()}
	case kindVote:
		return fence.Vote{Epoch: rdr.number(), Version: rdr.number(), Stamp: rdr.instant()}
	case kindAnswer:
		return fence.Answer{
			Sequence: rdr.number(), Version: rdr.number(), Proved: rdr.boolean(), Age: rdr.duration(),
			Stamp: rdr.instant(), Accepted: rdr.number(),
		}
	case kindNews:
		return fence.News{Head: rdr.head()}
	case kindTallyQuestion:
		return fence.TallyQuestion{Sequence: rdr.number(), Epoch: rdr.number(), Version: rdr.number()}
	case kindTallyAnswer:
		return rdr.tallyAnswer()
	case kindHeadQuestion:
		return fence.HeadQuestion{}
	}
	return nil
}

func (rdr *reader) head() fence.Head {
	return fence.Head{
		Version: rdr.number(), Release: rdr.text(), ReleaseVersion: rdr.number(),
		Manifest: rdr.chunkID(), History: rdr.chunkID(), LimitsVersion: rdr.number(),
		Epoch: rdr.number(), View: rdr.chunkID(), PriorView: rdr.chunkID(),
		Writer: rdr.text(), Sequence: rdr.number(),
	}
}

func (rdr *reader) tallyAnswer() fence.TallyAnswer {
	msg := fence.TallyAnswer{Sequence: rdr.number(), Epoch: rdr.number(), Domain: rdr.text(), Version: rdr.number()}
	for range rdr.count() {
		msg.Ages = append(msg.Ages, int(rdr.whole()))
	}
	msg.Asked = rdr.number()
	msg.Holding = int(rdr.whole())
	msg.HoldingPrior = int(rdr.whole())
	msg.Lagging = rdr.texts()
	msg.Silent = rdr.texts()
	msg.Accepted = rdr.number()
	return msg
}

package peer

import (
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/quarantine"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/table"
)

// encodeQuarantineMessage encodes a message of package quarantine, and reports whether msg is one.
func (wrt *writer) encodeQuarantineMessage(msg any) bool {
	switch msg := msg.(type) {
	case quarantine.Ask:
		wrt.unsigned(kindQuarantineAsk)
		wrt.unsigned(msg.Number)
		wrt.duration(msg.TimeLeft)
		wrt.quarantineReport(msg.Known)
	case quarantine.Ruling:
		wrt.unsigned(kindQuarantineRuling)
		wrt.unsigned(msg.Number)
		wrt.boolean(msg.Allowed)
		wrt.quarantineReport(msg.Known)
	case quarantine.Ended:
		wrt.unsigned(kindQuarantineEnded)
		wrt.unsigned(msg.Number)
		wrt.quarantineReport(msg.Known)
	case quarantine.News:
		wrt.unsigned(kindQuarantineNews)
		wrt.quarantineReports(msg.Reports)
		wrt.boolean(msg.Wanted)
	default:
		return false
	}
	return true
}

// decodeQuarantineMessage decodes a message of package quarantine; it returns nil if the kind is unknown.
func (rdr *reader) decodeQuarantineMessage(kind uint64) any {
	switch kind {
	case kindQuarantineAsk:
		return quarantine.Ask{Number: rdr.unsigned(), TimeLeft: rdr.duration(), Known: rdr.quarantineReport()}
	case kindQuarantineRuling:
		return quarantine.Ruling{Number: rdr.unsigned(), Allowed: rdr.boolean(), Known: rdr.quarantineReport()}
	case kindQuarantineEnded:
		return quarantine.Ended{Number: rdr.unsigned(), Known: rdr.quarantineReport()}
	case kindQuarantineNews:
		return quarantine.News{Reports: rdr.quarantineReports(), Wanted: rdr.boolean()}
	}
	return nil
}

func (wrt *writer) quarantineReports(rps []quarantine.Report) {
	wrt.count(len(rps))
	for _, rep := range rps {
		wrt.quarantineReport(rep)
	}
}

func (rdr *reader) quarantineReports() []quarantine.Report {
	var out []quarantine.Report
	for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
		out = append(out, rdr.quarantineReport())
	}
	return out
}

func (wrt *writer) quarantineReport(rep quarantine.Report) {
	wrt.raw(rep.Content[:])
	wrt.count(len(rep.Ends))
	for _, end := range rep.Ends {
		wrt.run(end.Run)
		wrt.boolean(end.Separate)
		wrt.duration(end.Age)
	}
	wrt.unsigned(rep.Epoch)
	wrt.signed(int64(rep.Trials))
}

func (rdr *reader) quarantineReport() quarantine.Report {
	return quarantine.Report{Content: rdr.fingerprint(), Ends: rdr.ends(), Epoch: rdr.unsigned(), Trials: int(rdr.signed())}
}

func (rdr *reader) ends() []quarantine.End {
	var out []quarantine.End
	for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
		out = append(out, quarantine.End{Run: rdr.run(), Separate: rdr.boolean(), Age: rdr.duration()})
	}
	return out
}

func (rdr *reader) fingerprint() request.Fingerprint {
	raw := rdr.raw()
	var fpr request.Fingerprint
	if len(raw) != len(fpr) {
		rdr.keep(errMalformed)
		return fpr
	}
	copy(fpr[:], raw)
	return fpr
}

func (wrt *writer) run(run health.Run) {
	wrt.text(run.Target)
	wrt.signed(run.Born)
}

func (rdr *reader) run() health.Run { return health.Run{Target: rdr.text(), Born: rdr.signed()} }

// quarantineRows encodes what rows of the fleet list hold of the quarantine. It stands in the appendix of an update.
func (wrt *writer) quarantineRows(del table.Delta[fleet.Row]) {
	for _, row := range del.Rows {
		if len(row.Value.Quarantine) > 0 {
			wrt.text(row.Name)
			wrt.quarantineReports(row.Value.Quarantine)
		}
	}
}

// setQuarantine adds what an update holds of the quarantine to the row of the fleet list with the given name.
func setQuarantine(del table.Delta[fleet.Row], name string, rps []quarantine.Report) {
	for num := range del.Rows {
		if del.Rows[num].Name == name {
			del.Rows[num].Value.Quarantine = rps
		}
	}
}

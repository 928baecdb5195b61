package driver

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/request"
)

// The names of events after which a request did not go as its caller wished.
var failureEvents = map[string]bool{"refused": true, "attemptFailed": true, "shed": true, "callerLeft": true}

// maxHeldEntries bounds the notes that are held for one request.
const maxHeldEntries = 16

// decisionLog writes the decisions to the logs, so many lines a second. Beyond half
// of them, what happens to a request is held back, and written only if the
// request does not go well.
type decisionLog struct {
	log logrus.FieldLogger
	// limit is the number of lines a second; 0 for no limit.
	limit int
	// second is the one whose lines are counted in lines.
	second int64
	lines  int
	// suppressed counts the lines that were not written.
	suppressed atomic.Int64
	reported   int64
}

// heldEntry is a note that waits for the outcome of its request.
type heldEntry struct {
	entry gateway.LogEntry
	at    time.Time
}

// allow counts a line and reports whether it may be written.
func (dlg *decisionLog) allow(now time.Time, important bool) bool {
	if dlg.limit <= 0 {
		return true
	}
	if sec := now.Unix(); sec != dlg.second {
		dlg.second, dlg.lines = sec, 0
		if sum := dlg.suppressed.Load(); sum != dlg.reported {
			dlg.log.WithField("count", sum-dlg.reported).Warn("lines suppressed")
			dlg.reported = sum
		}
	}
	limit := dlg.limit
	if !important {
		limit /= 2
	}
	if dlg.lines >= limit {
		return false
	}
	dlg.lines++
	return true
}

// record writes a note, or adds it to those that are held for its request.
func (dlg *decisionLog) record(ent gateway.LogEntry, label string, held []heldEntry) []heldEntry {
	now := time.Now()
	failure := failureEvents[ent.Event]
	if ent.Request != 0 && !failure {
		if len(held) == 0 && dlg.allow(now, false) {
			dlg.write(ent, label, now)
			return held
		}
		if len(held) < maxHeldEntries {
			return append(held, heldEntry{entry: ent, at: now})
		}
		dlg.suppressed.Add(1)
		return held
	}
	for _, hel := range append(held, heldEntry{entry: ent, at: now}) {
		if !dlg.allow(now, true) {
			dlg.suppressed.Add(1)
			continue
		}
		dlg.write(hel.entry, label, hel.at)
	}
	return nil
}

func (dlg *decisionLog) write(ent gateway.LogEntry, label string, at time.Time) {
	fields := make(logrus.Fields, len(ent.Fields)/2+2)
	for num := 0; num+1 < len(ent.Fields); num += 2 {
		if name, ok := ent.Fields[num].(string); ok {
			fields[name] = logValue(ent.Fields[num+1])
		}
	}
	if ent.Request != request.ID(0) {
		fields["request"] = label
	}
	dlg.log.WithFields(fields).WithTime(at).Info(ent.Event)
}

// logValue returns a value as it is to be read in the logs.
func logValue(val any) any {
	switch val := val.(type) {
	case time.Duration:
		return val.Round(100 * time.Microsecond).String()
	case interface{ String() string }:
		return val.String()
	}
	return val
}

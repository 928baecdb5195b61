package driver

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/request"
)

// failureEvents are the log events which say that a request or one of its attempts failed.
var failureEvents = map[string]bool{"refused": true, "attemptFailed": true, "shed": true, "callerLeft": true, "responseBrokeOff": true, "responseOverdue": true}

// maxHeldEntries bounds the log entries that are held for one request.
const maxHeldEntries = 16

// decisionLog writes the machine's decisions to the logs, with a limit on the lines per
// second. Once half of the limit is used up, entries of requests are held back and
// written only if a failure event follows for the same request.
type decisionLog struct {
	log logrus.FieldLogger
	// limit is the greatest number of lines per second; 0 means no limit.
	limit int
	// second is the Unix time, in seconds, for which lines counts the lines written.
	second int64
	lines  int
	// suppressed counts the lines dropped so far for want of room: beyond the limit, or
	// beyond maxHeldEntries for one request. Held entries of a request that succeeds are
	// discarded without being counted. reported is the value of suppressed when it was last
	// logged; the log line has only the number of lines dropped since then.
	suppressed atomic.Int64
	reported   int64
}

// heldEntry is a log entry that is kept back until the outcome of its request is known.
type heldEntry struct {
	entry gateway.LogEntry
	at    time.Time
}

// allow reports whether a line may be written now, and counts it if so. Lines that are
// not important may use only half of the limit.
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

// record writes an entry together with those held for its request, or holds it back. It
// returns the entries that are held for the request afterwards.
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

// logValue converts a value to the form in which it is logged.
func logValue(val any) any {
	switch val := val.(type) {
	case time.Duration:
		return val.Round(100 * time.Microsecond).String()
	case interface{ String() string }:
		return val.String()
	}
	return val
}

package driver

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/request"
)

// The names of events after which a request did not go as its caller wished.
var troubles = map[string]bool{"refused": true, "attemptFailed": true, "shed": true, "callerLeft": true}

// maxHeldNotes bounds the notes that are held for one request.
const maxHeldNotes = 16

// journal writes the decisions to the logs, so many lines a second. Beyond half
// of them, what happens to a request is held back, and written only if the
// request does not go well.
type journal struct {
	log logrus.FieldLogger
	// limit is the number of lines a second; 0 for no limit.
	limit int
	// second is the one whose lines are counted in lines.
	second int64
	lines  int
	// suppressed counts the lines that were not written.
	suppressed atomic.Int64
	told       int64
}

// heldNote is a note that waits for the outcome of its request.
type heldNote struct {
	note gateway.LogEntry
	at   time.Time
}

// room counts a line and reports whether it may be written.
func (jou *journal) room(now time.Time, important bool) bool {
	if jou.limit <= 0 {
		return true
	}
	if sec := now.Unix(); sec != jou.second {
		jou.second, jou.lines = sec, 0
		if sum := jou.suppressed.Load(); sum != jou.told {
			jou.log.WithField("count", sum-jou.told).Warn("lines suppressed")
			jou.told = sum
		}
	}
	limit := jou.limit
	if !important {
		limit /= 2
	}
	if jou.lines >= limit {
		return false
	}
	jou.lines++
	return true
}

// take writes a note, or adds it to those that are held for its request.
func (jou *journal) take(nte gateway.LogEntry, label string, held []heldNote) []heldNote {
	now := time.Now()
	trouble := troubles[nte.Event]
	if nte.Request != 0 && !trouble {
		if len(held) == 0 && jou.room(now, false) {
			jou.write(nte, label, now)
			return held
		}
		if len(held) < maxHeldNotes {
			return append(held, heldNote{note: nte, at: now})
		}
		jou.suppressed.Add(1)
		return held
	}
	for _, one := range append(held, heldNote{note: nte, at: now}) {
		if !jou.room(now, true) {
			jou.suppressed.Add(1)
			continue
		}
		jou.write(one.note, label, one.at)
	}
	return nil
}

func (jou *journal) write(nte gateway.LogEntry, label string, at time.Time) {
	fields := make(logrus.Fields, len(nte.Fields)/2+2)
	for num := 0; num+1 < len(nte.Fields); num += 2 {
		if name, ok := nte.Fields[num].(string); ok {
			fields[name] = plain(nte.Fields[num+1])
		}
	}
	if nte.Request != request.ID(0) {
		fields["request"] = label
	}
	jou.log.WithFields(fields).WithTime(at).Info(nte.Event)
}

// plain returns a value as it is to be read in the logs.
func plain(val any) any {
	switch val := val.(type) {
	case time.Duration:
		return val.Round(100 * time.Microsecond).String()
	case interface{ String() string }:
		return val.String()
	}
	return val
}

package budget

import (
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// reportInterval is the least time between two log lines on the same cause.
const reportInterval = time.Second

// Reporter counts the clients that were refused or closed, by cause, and logs them, one line a cause and
// reportInterval at most. It is safe for concurrent use.
type Reporter struct {
	mut    sync.Mutex
	counts map[string]uint64
	logged map[string]entry
}

// entry is the last log line on a cause.
type entry struct {
	at time.Time
	// count is how many clients had been refused or closed for the cause by then.
	count uint64
}

// NewReporter returns a reporter that has counted nothing.
func NewReporter() *Reporter {
	return &Reporter{counts: make(map[string]uint64), logged: make(map[string]entry)}
}

// Report counts a client and logs it, with the number of all since the last line on the cause.
func (rep *Reporter) Report(log logrus.FieldLogger, cause, client, msg string) {
	rep.mut.Lock()
	rep.counts[cause]++
	now, count, last := time.Now(), rep.counts[cause], rep.logged[cause]
	due := now.Sub(last.at) >= reportInterval
	if due {
		rep.logged[cause] = entry{at: now, count: count}
	}
	rep.mut.Unlock()
	if due {
		log.WithFields(logrus.Fields{"cause": cause, "caller": client, "count": count - last.count}).Info(msg)
	}
}

// Counts returns the number of clients by cause.
func (rep *Reporter) Counts() map[string]uint64 {
	rep.mut.Lock()
	defer rep.mut.Unlock()
	return maps.Clone(rep.counts)
}

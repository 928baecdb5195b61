package target

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxIdleTime is how long an idle connection is kept, and may carry an idempotent request, which
	// can be sent again if the target closes the connection meanwhile.
	maxIdleTime = 30 * time.Second
	// cautiousIdleTime is how long a connection may have been idle to carry a request that is not
	// idempotent, where the target has not said how long it keeps idle connections.
	cautiousIdleTime = time.Second
	// trustedKeepAliveShare is the share of the time that a target has announced for which an idle
	// connection carries such requests. The rest allows for the request's way and for slow clocks.
	trustedKeepAliveShare = 0.5
	// distrustTime is how long connections are reused less after a target has closed an idle one
	// without notice, and distrustedShare the share of the time for which that one was idle from which
	// on another one carries no request that is not idempotent.
	distrustTime    = 20 * time.Second
	distrustedShare = 0.5
)

// reusePolicy decides how long idle connections carry requests. It is safe for concurrent use.
type reusePolicy struct {
	mut sync.Mutex
	// distrustUntil is the time until which connections that were idle for distrustedIdle or longer
	// carry no request that is not idempotent.
	distrustUntil  time.Time
	distrustedIdle time.Duration
}

// maxIdle returns how long a connection may have been idle to carry a request. keepAlive is for how
// long the target has said that it keeps the connection open, 0 if it has not said so.
func (rus *reusePolicy) maxIdle(keepAlive time.Duration, idempotent bool) time.Duration {
	if idempotent {
		return maxIdleTime
	}
	most := cautiousIdleTime
	if keepAlive > 0 {
		most = max(time.Duration(float64(keepAlive)*trustedKeepAliveShare), cautiousIdleTime)
	}
	rus.mut.Lock()
	defer rus.mut.Unlock()
	if time.Now().Before(rus.distrustUntil) {
		return min(most, rus.distrustedIdle)
	}
	return most
}

// noteFailure records that a request on a connection that had been idle got no response since the
// connection was closed. The target may have closed it while it was idle.
func (rus *reusePolicy) noteFailure(idle time.Duration, err error) {
	if idle == 0 || !closedByPeer(err) {
		return
	}
	rus.mut.Lock()
	defer rus.mut.Unlock()
	limit, now := time.Duration(float64(idle)*distrustedShare), time.Now()
	if now.Before(rus.distrustUntil) {
		limit = min(limit, rus.distrustedIdle)
	}
	rus.distrustedIdle, rus.distrustUntil = limit, now.Add(distrustTime)
}

// announcedKeepAlive returns for how long a response says that its connection is kept open while it is
// idle, 0 if it does not say so.
func announcedKeepAlive(hdr http.Header) time.Duration {
	for _, val := range hdr.Values("Keep-Alive") {
		for part := range strings.SplitSeq(val, ",") {
			name, sec, _ := strings.Cut(strings.TrimSpace(part), "=")
			if num, err := strconv.Atoi(sec); strings.EqualFold(name, "timeout") && err == nil && num > 0 {
				return time.Duration(num) * time.Second
			}
		}
	}
	return 0
}

package quota

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/rate"
)

const (
	// bucketCount is the number of buckets into which a window is divided for counting. One
	// more bucket is kept, so that tokens granted at the end of a bucket count for a whole
	// window.
	bucketCount = 20
	keptBuckets = bucketCount + 1
	// startShare is the share of the rate that a server can grant in its first window, in
	// which it does not know what its predecessor granted.
	startShare = 0.8
	// maxRetryAfter is the longest time after which a refused caller is told to retry.
	maxRetryAfter = 5 * time.Second
)

// Server is one of the token servers, each of which grants an equal share of the limits of
// organisations. In any window it grants an organisation no more than its share of what the rate
// yields in that time plus the burst. Only one VM at a time may act as the server of a number,
// which a lease in the platform's store ensures. Server is not safe for concurrent use.
type Server struct {
	policy Policy
	// limits returns this server's share of an organisation's limit, and whether the
	// organisation is known.
	limits    func(organisation string) (rate.Limit, bool)
	startedAt clock.Instant
	accounts  map[string]*account
	// predecessor lists the busy organisations as the previous VM in this role left them in
	// the store. stored is the list that the store holds for this server, and desired the
	// one that it should hold.
	predecessor, stored, desired Busy
	// evaluatedAt is when desired was last evaluated, and changedAt when it was last
	// replaced.
	evaluatedAt, changedAt clock.Instant
	// urgent is set once an organisation was granted less than it needed while it was not
	// listed as busy.
	urgent bool
}

// account counts the tokens that one organisation was granted in the last window.
type account struct {
	limit rate.Limit
	// buckets is a ring of the tokens granted in each bucket of the last window, and sum
	// their total.
	buckets [keptBuckets]rate.Tokens
	sum     rate.Tokens
	// bucket is the number of the newest bucket, counted from the start of the server.
	bucket int64
	// available is what may be granted at once, as of refilledAt: a token bucket of the
	// size of the burst, which is refilled at the constant rate of one window limit per window.
	// Without it an organisation could take all tokens of a window just before another VM
	// takes over, which knows nothing of them. remainder is what rate.Accrue carries over.
	available  rate.Tokens
	remainder  uint64
	refilledAt clock.Instant
	// lastRetryAt is the latest time at which refused requests were told to retry.
	lastRetryAt clock.Instant
}

// NewServer returns one of serverCount servers, which begins to serve now. predecessor lists the
// busy organisations of the VM that was this server before. The store must list all organisations
// as busy for the new server. limits returns an organisation's limit for the whole fleet, and
// whether the organisation is known.
func NewServer(now clock.Instant, pol Policy, serverCount int, predecessor Busy, limits func(organisation string) (rate.Limit, bool)) *Server {
	perServer := func(organisation string) (rate.Limit, bool) {
		lim, found := limits(organisation)
		return rate.Limit{Rate: lim.Rate / rate.PerSecond(serverCount), Burst: lim.Burst / rate.Tokens(serverCount)}, found
	}
	all := Busy{All: true}
	return &Server{
		policy: pol.perServer(serverCount), limits: perServer, startedAt: now, accounts: make(map[string]*account),
		predecessor: predecessor, stored: all, desired: all, evaluatedAt: now, changedAt: now,
	}
}

// Answer decides how many tokens to grant for a Query.
func (srv *Server) Answer(now clock.Instant, qry Query) Grant {
	gra := Grant{Organisation: qry.Organisation, Number: qry.Number}
	lim, found := srv.limits(qry.Organisation)
	if !found {
		gra.RetryAfter = time.Second // As in Client.Admit; it must be above 0, see Grant.
		return gra
	}
	acc := srv.account(now, qry.Organisation, lim)
	srv.refill(now, acc)
	windowCap := srv.windowCap(qry.Organisation, lim)
	whole := max(int(min(windowCap-acc.sum, acc.available)/rate.Request), 0)
	gra.Count = min(whole, qry.Need+qry.Prefetch)
	acc.add(rate.Tokens(gra.Count) * rate.Request)
	acc.available -= rate.Tokens(gra.Count) * rate.Request
	if short := qry.Need - gra.Count; short > 0 {
		srv.urgent = srv.urgent || windowCap < srv.windowLimit(lim)
		gra.RetryAfter = acc.scheduleRetry(now, srv.policy.Window, windowCap, short)
	}
	return gra
}

// windowLimit returns an organisation's window limit: what the rate yields in one window plus the
// burst, at least one request.
func (srv *Server) windowLimit(lim rate.Limit) rate.Tokens {
	return max(srv.yield(lim, 1)+lim.Burst, rate.Request)
}

// yield returns a share of the tokens that the rate yields in one window.
func (srv *Server) yield(lim rate.Limit, share float64) rate.Tokens {
	return rate.Tokens(float64(lim.Rate) * srv.policy.Window.Seconds() * share)
}

func (srv *Server) account(now clock.Instant, organisation string, lim rate.Limit) *account {
	acc := srv.accounts[organisation]
	if acc == nil {
		acc = &account{limit: lim, refilledAt: srv.startedAt}
		srv.assumeGrants(acc, organisation)
		srv.accounts[organisation] = acc
	}
	if acc.limit != lim {
		acc.scale(float64(srv.windowLimit(lim)) / float64(srv.windowLimit(acc.limit)))
		acc.limit = lim
	}
	acc.advance(srv.bucketAt(now))
	return acc
}

// bucketAt returns the number of the bucket that contains an instant.
func (srv *Server) bucketAt(now clock.Instant) int64 {
	return int64(now.Since(srv.startedAt) / (srv.policy.Window / bucketCount))
}

// refill adds the tokens that have accrued since the last call to what may be granted at once.
func (srv *Server) refill(now clock.Instant, acc *account) {
	var gain rate.Tokens
	even := rate.PerSecond(srv.windowLimit(acc.limit).Float() / srv.policy.Window.Seconds() * float64(rate.Request))
	gain, acc.remainder = rate.Accrue(even, now.Since(acc.refilledAt), acc.remainder)
	acc.refilledAt = now
	acc.available = min(acc.available+gain, max(acc.limit.Burst, rate.Request))
}

// assumeGrants fills the window before the start of the server with the worst case: the
// predecessor granted all that it could, as late as it could, namely most of it evenly and the
// rest in the last bucket. initialGrant is taken off that, unless the predecessor listed all
// organisations as busy. What the window limit still leaves can be granted at once, because
// callers return all together after many VMs were lost.
func (srv *Server) assumeGrants(acc *account, organisation string) {
	left := srv.windowLimit(acc.limit)
	if !srv.predecessor.Has(organisation) {
		left = srv.windowShare(acc.limit, assumedShare)
	}
	if !srv.predecessor.All {
		left -= srv.policy.initialGrant(srv.windowLimit(acc.limit))
	}
	acc.available = min(acc.limit.Burst, srv.windowLimit(acc.limit)-left)
	each := srv.yield(acc.limit, startShare) / bucketCount
	last := srv.windowLimit(acc.limit) - each*(bucketCount-1)
	for num := range bucketCount {
		bucket := (keptBuckets - num) % keptBuckets // From the newest bucket, 0, to the oldest.
		acc.buckets[bucket] = min(left, last)
		left -= acc.buckets[bucket]
		acc.sum += acc.buckets[bucket]
		last = each
	}
}

// unused reports whether nothing was granted in the last window and no refused caller has been told to
// return later than now.
func (acc *account) unused(now clock.Instant) bool {
	return acc.sum == 0 && !now.Before(acc.lastRetryAt)
}

func (acc *account) add(tok rate.Tokens) {
	acc.buckets[acc.bucket%keptBuckets] += tok
	acc.sum += tok
}

// advance moves to a newer bucket and clears the buckets that have left the window.
func (acc *account) advance(bucket int64) {
	if bucket-acc.bucket >= keptBuckets {
		acc.buckets, acc.sum, acc.bucket = [keptBuckets]rate.Tokens{}, 0, bucket
		return
	}
	for acc.bucket < bucket {
		acc.bucket++
		at := acc.bucket % keptBuckets
		acc.sum -= acc.buckets[at]
		acc.buckets[at] = 0
	}
}

// scale multiplies the counted tokens by a factor. When the limit changes, the used share of
// the limit thus stays the same.
func (acc *account) scale(factor float64) {
	acc.sum = 0
	for num := range acc.buckets {
		acc.buckets[num] = rate.Tokens(float64(acc.buckets[num]) * factor)
		acc.sum += acc.buckets[num]
	}
}

// scheduleRetry returns the time after which the last of several refused requests should retry,
// at most maxRetryAfter. Successive calls spread the retries at the pace at which the window frees
// tokens for them: windowCap in each window.
func (acc *account) scheduleRetry(now clock.Instant, window time.Duration, windowCap rate.Tokens, requests int) time.Duration {
	if acc.lastRetryAt.Before(now) {
		acc.lastRetryAt = now
	}
	step := time.Duration(float64(requests) / windowCap.Float() * float64(window))
	acc.lastRetryAt = acc.lastRetryAt.Add(step)
	if limit := now.Add(maxRetryAfter); limit.Before(acc.lastRetryAt) {
		acc.lastRetryAt = limit
	}
	return max(acc.lastRetryAt.Mono-now.Mono, time.Millisecond)
}

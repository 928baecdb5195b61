package quota

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/rate"
)

const (
	// burstShare is the part of an organisation's burst that the server grants
	// at once. The rest covers what VMs spend while they do not reach it.
	burstShare = 0.5
	// maxRetryAfter bounds the time after which a refused caller is told to
	// come back.
	maxRetryAfter = 5 * time.Second
)

// Server grants the tokens of organisations. Only one VM at a time may serve,
// which a lease on the platform ensures. A server that begins holds no tokens,
// so that those of its predecessor are not granted twice. It is not safe for
// concurrent use.
type Server struct {
	limits  func(organisation string) (rate.Limit, bool)
	began   clock.Instant
	buckets map[string]*mint
}

// mint is the bucket of one organisation at the server.
type mint struct {
	limit  rate.Limit
	tokens rate.Tokens
	rest   uint64
	filled clock.Instant
	// promised is until when refused requests have been told to come back.
	promised clock.Instant
}

// NewServer returns a server that begins to serve now.
func NewServer(now clock.Instant, limits func(organisation string) (rate.Limit, bool)) *Server {
	return &Server{limits: limits, began: now, buckets: make(map[string]*mint)}
}

// Answer decides on an ask.
func (srv *Server) Answer(now clock.Instant, ask Ask) Grant {
	gra := Grant{Organisation: ask.Organisation, Number: ask.Number}
	lim, found := srv.limits(ask.Organisation)
	if !found {
		gra.RetryAfter = time.Second
		return gra
	}
	mnt := srv.bucket(now, ask.Organisation, lim)
	mnt.refill(now)
	whole := int(mnt.tokens / rate.Request)
	gra.Count = min(whole, ask.Need+ask.Ahead)
	mnt.tokens -= rate.Tokens(gra.Count) * rate.Request
	if short := ask.Need - gra.Count; short > 0 {
		gra.RetryAfter = mnt.promise(now, short)
	}
	return gra
}

func (srv *Server) bucket(now clock.Instant, organisation string, lim rate.Limit) *mint {
	mnt := srv.buckets[organisation]
	if mnt == nil {
		// rate.Tokens accrue from the beginning of the service, also for
		// organisations that are asked for later.
		mnt = &mint{limit: lim, filled: srv.began}
		srv.buckets[organisation] = mnt
	}
	if mnt.limit != lim {
		mnt.refill(now)
		mnt.limit = lim
		mnt.tokens = min(mnt.tokens, mnt.capacity())
	}
	return mnt
}

func (mnt *mint) capacity() rate.Tokens {
	return max(scaled(mnt.limit.Burst, burstShare), rate.Request)
}

func (mnt *mint) refill(now clock.Instant) {
	var gain rate.Tokens
	gain, mnt.rest = rate.Accrue(mnt.limit.Rate, now.Since(mnt.filled), mnt.rest)
	mnt.filled = now
	mnt.tokens = min(mnt.tokens+gain, mnt.capacity())
}

// promise returns when the last of some refused requests may come back, so
// that returns are spread at the organisation's rate.
func (mnt *mint) promise(now clock.Instant, requests int) time.Duration {
	if mnt.promised.Before(now) {
		mnt.promised = now
	}
	if mnt.limit.Rate <= 0 {
		return maxRetryAfter
	}
	step := time.Duration(float64(requests) / mnt.limit.Rate.Float() * float64(time.Second))
	mnt.promised = mnt.promised.Add(step)
	left := mnt.promised.Mono - now.Mono
	if left > maxRetryAfter {
		mnt.promised = now.Add(maxRetryAfter)
		left = maxRetryAfter
	}
	return max(left, time.Millisecond)
}

func scaled(tok rate.Tokens, share float64) rate.Tokens { return rate.Tokens(float64(tok) * share) }

package http1

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestRaisedHeaderBoundHoldsOnOpenConnections raises the limit on the size of heads while a
// connection is open, as happens when a VM receives its configuration after its first callers have
// connected, and sends a head that only the new limit allows. The request must be answered.
func TestRaisedHeaderBoundHoldsOnOpenConnections(t *testing.T) {
	const answer = "200 \"answer to /x\"\n"
	large := strings.Replace(nextRequest, "\n\n", "\nX: "+strings.Repeat("x", 12<<10)+"\n\n", 1)
	tooLarge := strings.Replace(nextRequest, "\n\n", "\nX: "+strings.Repeat("x", 16<<10)+"\n\n", 1)
	for _, one := range []struct {
		name, before, after, want string
	}{
		{"before the first request", "", large, answer},
		{"between requests", nextRequest, large, answer},
		{"while a request is in flight", slowRequest, large, "200 \"answer to /slow/1\"\n" + answer},
		{"between requests of which several are pipelined", nextRequest, large + nextRequest + large, answer + answer + answer},
		{"after the first byte of a head", large[:1], large[1:], answer},
		{"after a part of a head", large[:2<<10], large[2<<10:], answer},
		{"and the head is larger still", nextRequest, tooLarge, "431 close\n"},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t)
			fix.connect(t)
			fix.write(t, one.before)
			if one.before == nextRequest {
				if got := fix.read(1); got != answer {
					t.Fatalf("got %q", got)
				}
			}
			time.Sleep(20 * time.Millisecond) // The server must have accepted the connection and read.
			set := fix.srv.Settings()
			set.HeaderBytes = 16 << 10
			fix.srv.SetSettings(set)
			fix.write(t, one.after)
			if got := fix.read(strings.Count(one.want, "\n")); got != one.want {
				t.Errorf("got %q, want %q", got, one.want)
			}
		})
	}
}

// TestRaisedIdleTimeHoldsForIdleConnections raises the idle timeout of 1 s while a connection is
// idle, and sends a request or drains later: the new timeout must hold, and drains must not wait for
// it.
func TestRaisedIdleTimeHoldsForIdleConnections(t *testing.T) {
	const answer = "200 \"answer to /x\"\n"
	for _, one := range []struct {
		name, before string
		raised       time.Duration
		wait         time.Duration
		drain        bool
		want         string
	}{
		{"after a request", nextRequest, 10 * time.Second, 1700 * time.Millisecond, false, answer},
		{"before the first request", "", 10 * time.Second, 1700 * time.Millisecond, false, answer},
		{"and is idle beyond the new one", nextRequest, 1200 * time.Millisecond, 2 * time.Second, false, "no answer\n"},
		{"and drains within the old one", nextRequest, 10 * time.Second, 100 * time.Millisecond, true, "no answer\n"},
		{"and drains after the old one", nextRequest, 10 * time.Second, 1700 * time.Millisecond, true, "no answer\n"},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t)
			fix.connect(t)
			fix.write(t, one.before)
			if one.before != "" {
				if got := fix.read(1); got != answer {
					t.Fatalf("got %q", got)
				}
			}
			time.Sleep(50 * time.Millisecond)
			set := fix.srv.Settings()
			set.IdleTimeout = one.raised
			fix.srv.SetSettings(set)
			time.Sleep(one.wait)
			if one.drain {
				fix.srv.Stop()
				start := time.Now()
				if done := fix.drain(); !<-done || time.Since(start) > drainTime/2 {
					t.Errorf("the connection closed after %v", time.Since(start))
				}
			}
			_, _ = fix.con.Write([]byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")) // The connection may be closed.
			if got := fix.read(1); got != one.want {
				t.Errorf("got %q, want %q", got, one.want)
			}
		})
	}
}

// deadlineCounter is a connection that counts how often its read deadline is set.
type deadlineCounter struct {
	net.Conn
	cnt atomic.Int32
}

// SetReadDeadline counts the call and passes it on.
func (dlc *deadlineCounter) SetReadDeadline(end time.Time) error {
	dlc.cnt.Add(1)
	return dlc.Conn.SetReadDeadline(end)
}

// TestRaisedIdleTimeOverTLS raises the idle timeout of 1 s on a TLS connection after the handshake,
// where the new timeout must hold, and on one whose handshake never comes: there the first timeout
// is final, since crypto/tls doesn't continue a handshake that has failed. The server must notice
// this rather than set the read deadline again and again.
func TestRaisedIdleTimeOverTLS(t *testing.T) {
	tlsServer := httptest.NewTLSServer(nil)
	t.Cleanup(tlsServer.Close)
	for _, one := range []struct {
		name string
		done bool
		want string
	}{
		{"after the handshake", true, "200 \"answer to /x\"\n"},
		{"before the handshake", false, "no answer\n"},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t)
			ours, theirs := net.Pipe()
			dlc := &deadlineCounter{Conn: ours}
			fix.con = theirs
			go newConn(fix.srv, tls.Server(dlc, tlsServer.TLS)).serve()
			if one.done {
				cli := tls.Client(theirs, &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: certPool(tlsServer), ServerName: "example.com"})
				if err := cli.Handshake(); err != nil {
					t.Fatal(err)
				}
				fix.con = cli
			}
			fix.src = bufio.NewReader(fix.con)
			time.Sleep(50 * time.Millisecond) // The server must have set the old timeout.
			set := fix.srv.Settings()
			set.IdleTimeout = 10 * time.Second
			fix.srv.SetSettings(set)
			time.Sleep(1700 * time.Millisecond)
			if one.done {
				fix.write(t, nextRequest)
			}
			start := time.Now()
			if got := fix.read(1); got != one.want || time.Since(start) > time.Second {
				t.Errorf("got %q after %v, want %q", got, time.Since(start), one.want)
			}
			if got := dlc.cnt.Load(); got > 20 {
				t.Errorf("the read deadline was set %d times", got)
			}
		})
	}
}

// certPool returns a pool with the certificate of a server.
func certPool(srv *httptest.Server) *x509.CertPool {
	out := x509.NewCertPool()
	out.AddCert(srv.Certificate())
	return out
}

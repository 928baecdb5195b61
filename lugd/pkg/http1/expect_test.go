package http1

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestBodiesSentAheadOf100ContinueStayWhole has callers send random requests ahead on a connection, of which some expect 100 Continue
// and do not wait for it. Targets ran bodies that lacked a part and went on with the heads and keys that followed
// (case 11 of review/).
func TestBodiesSentAheadOf100ContinueStayWhole(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t)
			fix.srv.SetSettings(Settings{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second, BodyTimeout: 5 * time.Second})
			fix.connect(t)
			rnd := rand.New(rand.NewPCG(seed, 1))
			texts, want := sentAhead(rnd, 1+rnd.IntN(8))
			go func() {
				for rest := strings.Join(texts, ""); rest != ""; {
					cnt := min(1+rnd.IntN(20000), len(rest))
					if _, err := io.WriteString(fix.con, rest[:cnt]); err != nil {
						return // The number of responses tells.
					}
					rest = rest[cnt:]
					time.Sleep(time.Duration(rnd.IntN(4)) * time.Millisecond)
				}
			}()
			for answered := 0; answered < len(texts); {
				_ = fix.con.SetReadDeadline(time.Now().Add(4 * time.Second))
				rsp, err := http.ReadResponse(fix.src, nil)
				if err != nil {
					t.Fatalf("%d of %d responses came: %v", answered, len(texts), err)
				}
				_, _ = io.Copy(io.Discard, rsp.Body)
				_ = rsp.Body.Close()
				if rsp.StatusCode != http.StatusContinue {
					answered++
				}
			}
			fix.fks.mut.Lock()
			defer fix.fks.mut.Unlock()
			got := slices.Sorted(slices.Values(fix.fks.received))
			slices.Sort(want)
			if !slices.Equal(got, want) {
				t.Errorf("targets received %d requests that differ from the %d that were sent", len(got), len(want))
			}
		})
	}
}

// sentAhead returns the texts of random requests, and what targets are to receive of them.
func sentAhead(rnd *rand.Rand, cnt int) (texts, want []string) {
	for num := range cnt {
		path := fmt.Sprint([]string{"/x/", "/slow/"}[rnd.IntN(2)], num)
		if rnd.IntN(4) == 0 {
			texts = append(texts, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
			want = append(want, fmt.Sprintf("GET %s %q key=%q organisation=%q", path, "", "", "studio"))
			continue
		}
		body := strings.Repeat(fmt.Sprintf("GET /smuggled/%d HTTP/1.1\r\nHost: h\r\n\r\n", num), 1+rnd.IntN(700))
		head := "POST " + path + " HTTP/1.1\r\nHost: h\r\n"
		if rnd.IntN(3) > 0 {
			head += "Expect: 100-continue\r\n"
		}
		if rnd.IntN(3) == 0 {
			texts = append(texts, head+"Transfer-Encoding: chunked\r\n\r\n"+chunks(rnd, body))
		} else {
			texts = append(texts, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
		}
		want = append(want, fmt.Sprintf("POST %s %q key=%q organisation=%q", path, body, "", "studio"))
	}
	return texts, want
}

// chunks returns a body in chunks of random size.
func chunks(rnd *rand.Rand, body string) string {
	var out strings.Builder
	for body != "" {
		cnt := min(1+rnd.IntN(5000), len(body))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", cnt, body[:cnt])
		body = body[cnt:]
	}
	out.WriteString("0\r\n\r\n")
	return out.String()
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// uploadBytes is the length of the bodies that are sent, and uploads how many are sent on a connection.
	uploadBytes = 6000
	uploads     = 6
	// continueWait is how long a client waits for 100 Continue at most before it sends the body (RFC 9110, 10.1.1).
	continueWait = time.Second
	// slowWork is how long a worker works on the request before the uploads of a client that waits.
	slowWork = 2 * time.Second
	// uploadBudget is the time budget of each request.
	uploadBudget = 4 * time.Second
)

func init() { cases["11"] = expectContinue }

// uploader is a client that sends several idempotent requests with bodies on one connection before the first is answered. Where
// expects is set, it asks for 100 Continue, and waits so long for it before it sends a body.
type uploader struct {
	rec     *record
	name    string
	expects bool
	wait    time.Duration
	// saved is set if the bodies are texts of saved requests, and slow if the first request is one that takes long.
	saved, slow bool

	mut  sync.Mutex
	sent map[string]attempt
	// continued has an element for each 100 Continue.
	continued chan struct{}
}

func (upl *uploader) requests() []attempt {
	var all []attempt
	if upl.slow {
		all = append(all, attempt{method: http.MethodGet, target: "/read/slow", host: host, id: upl.name + "-slow", key: keyKept, budget: uploadBudget})
	}
	for num := range uploads {
		att := attempt{method: http.MethodPut, target: "/read/log", host: host, id: fmt.Sprintf("%s-%d", upl.name, num), key: keyKept, budget: uploadBudget}
		if upl.saved {
			att.body = attempt{method: http.MethodPut, target: "/read/saved", host: host, id: "saved-in-" + att.id, key: keyKept, budget: uploadBudget}.bytes()
		}
		for len(att.body) < uploadBytes {
			att.body += fmt.Sprintf("%s: 930 degrees, soaked for %d minutes\n", att.id, len(att.body))
		}
		all = append(all, att)
	}
	return all
}

// run sends the requests and reads what is answered.
func (upl *uploader) run(address string) error {
	con, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = con.Close() }()
	_ = con.SetDeadline(time.Now().Add(uploadBudget + uploads*continueWait))
	upl.sent, upl.continued = make(map[string]attempt), make(chan struct{}, uploads)
	done := make(chan struct{})
	go func() {
		defer close(done)
		upl.read(con)
	}()
	for _, att := range upl.requests() {
		upl.mut.Lock()
		upl.sent[att.id] = att
		upl.mut.Unlock()
		head, body, _ := strings.Cut(att.bytes(), "\r\n\r\n")
		if upl.expects && att.body != "" {
			head += "\r\nExpect: 100-continue"
		}
		upl.rec.printf("client %s: sends the head of %s %s, id %s", upl.name, att.method, att.target, att.id)
		if _, err := io.WriteString(con, head+"\r\n\r\n"); err != nil {
			break
		}
		if upl.expects && upl.wait > 0 && att.body != "" {
			select {
			case <-upl.continued:
			case <-time.After(upl.wait):
			}
		}
		upl.rec.printf("client %s: sends the body of id %s, %d bytes", upl.name, att.id, len(body))
		if _, err := io.WriteString(con, body); err != nil {
			break
		}
	}
	<-done
	return nil
}

// read reads the answers.
func (upl *uploader) read(con net.Conn) {
	rdr := bufio.NewReader(con)
	for left := len(upl.requests()); left > 0; {
		rsp, err := http.ReadResponse(rdr, nil)
		if err != nil {
			upl.rec.printf("client %s: no more answers, %d are missing: %v", upl.name, left, err)
			return
		}
		if rsp.StatusCode == http.StatusContinue {
			select {
			case upl.continued <- struct{}{}:
			default:
			}
			continue
		}
		_, _ = io.Copy(io.Discard, rsp.Body)
		upl.rec.printf("client %s: status %d, id %q, signature %q", upl.name, rsp.StatusCode, rsp.Header.Get("Attempt-Id"), rsp.Header.Get("Response-Signature"))
		left--
	}
}

// judge returns what workers have run that the client has not sent.
func (upl *uploader) judge(arr arrival) string {
	att, known := upl.sent[arr.id]
	switch {
	case !known:
		return "no client sent this id"
	case arr.method != att.method:
		return fmt.Sprintf("its method is %q and not %s", shorten(arr.method), att.method)
	case arr.target != att.target:
		return fmt.Sprintf("its path is %q and not %s", shorten(arr.target), att.target)
	case arr.body != att.body && !upl.saved && strings.Contains(arr.body, keyKept):
		return "its body is changed, and has the client's key in it"
	case arr.body != att.body:
		return "its body is changed"
	}
	return ""
}

func shorten(txt string) string {
	if len(txt) > 24 {
		return "..." + txt[len(txt)-24:]
	}
	return txt
}

// expectContinue lets clients that ask for 100 Continue send idempotent requests ahead on their connections.
func expectContinue(rec *record, flt *fleet, trouble bool) (verdict, error) {
	_, wkrs, err := startSmall(rec, flt, nil, "edge-a", "edge-b")
	if err != nil {
		return nil, err
	}
	for _, wkr := range wkrs {
		wkr.handle = func(wkr *worker, con net.Conn, req *http.Request) bool {
			work := shortWork
			if req.URL.Path == "/read/slow" {
				work = slowWork
			}
			return serveWell(work)(wkr, con, req)
		}
	}
	var found verdict
	for num, upl := range []*uploader{
		{name: "at-once-1", expects: trouble},
		{name: "at-once-2", expects: trouble},
		{name: "saved-1", expects: trouble, saved: true},
		{name: "waits-1", expects: trouble, wait: continueWait, slow: true},
		{name: "waits-2", expects: trouble, wait: continueWait, slow: true},
	} {
		upl.rec = rec
		if err := upl.run(flt.vms[num%len(flt.vms)].front); err != nil {
			return nil, err
		}
		for _, wkr := range wkrs {
			for _, arr := range wkr.runs("") {
				if !strings.Contains(arr.id, upl.name) {
					continue
				}
				if why := upl.judge(arr); why != "" {
					found = append(found, fmt.Sprintf("UNASKED: worker %s ran a request with the id %s: %s", arr.worker, arr.id, why))
				}
			}
		}
	}
	return found, nil
}

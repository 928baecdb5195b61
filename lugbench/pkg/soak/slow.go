package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"marigoldlug.example/lugbench/pkg/playground"
	"marigoldlug.example/lugbench/pkg/targetfake"
	"marigoldlug.example/lugd/pkg/socket"
)

const (
	// slowPerSecond is how many callers a second begin that read slowly, each with slowRounds times slowPipelined requests.
	slowPerSecond = 3
	slowRounds    = 2
	slowPipelined = 3
	// slowBufferBytes is the receive buffer of these callers. With it VMs cannot deliver what they have written.
	slowBufferBytes = 8 << 10
	// maxSlowPause bounds the time for which they read nothing. It leaves time for the responses before requestTimeout.
	maxSlowPause = 1400 * time.Millisecond
	// bufferedBytes is how long a response may be that a VM reads whole before it passes on any of it, so that its caller gets
	// another one if its target cuts it. shortPadding is less than that, and longPadding more.
	bufferedBytes = 64 << 10
	shortPadding  = 30 << 10
	longPadding   = 100 << 10
)

// sendSlow sends requests on a connection several at a time, the last one with a long response, and reads nothing for some time
// before it reads the responses.
func (loa *load) sendSlow(num int) {
	vmm := loa.flt.vms[num%len(loa.flt.vms)]
	con, err := dialSlowly(vmm)
	if err != nil {
		return // No request was sent.
	}
	rnd := rand.New(rand.NewPCG(loa.flt.set.Seed, uint64(num)))
	for round := range slowRounds {
		if round > 0 && !con.isOpen() {
			break
		}
		reqs := loa.slowRequests(vmm, fmt.Sprintf("slow-%d-%d", num, round))
		con.pause = time.Duration(rnd.Int64N(int64(maxSlowPause)))
		open := con.exchange(reqs, playground.Key)
		loa.flt.rep.add(reqs...)
		if !open {
			return // The exchange has closed the connection.
		}
	}
	_ = con.raw.Close()
}

func (loa *load) slowRequests(vmm *process, id string) []sentRequest {
	var reqs []sentRequest
	for num := range slowPipelined {
		req := sentRequest{id: fmt.Sprintf("%s-%d", id, num), organisation: "studio", padding: shortPadding, vm: vmm, run: vmm.run.Load(), at: time.Now()}
		if num == slowPipelined-1 {
			req.padding = longPadding
		}
		req.path = fmt.Sprintf("%s?%s=%d", readsPath, targetfake.PaddingParameter, req.padding)
		reqs = append(reqs, req)
	}
	return reqs
}

// dialSlowly opens a connection with a receive buffer of slowBufferBytes.
func dialSlowly(prc *process) (*conn, error) {
	dlr := net.Dialer{Timeout: dialTimeout, Control: socket.ReceiveBuffer(slowBufferBytes)}
	raw, err := dlr.Dial("tcp", prc.set.CallerAddress)
	return &conn{raw: raw, rdr: bufio.NewReader(raw)}, err
}

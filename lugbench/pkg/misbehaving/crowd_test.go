package misbehaving

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"marigoldlug.example/lugbench/pkg/playground"
	"marigoldlug.example/lugd/pkg/edge"
	"marigoldlug.example/platform/pkg/objects"
)

// place is where clients send their requests.
type place struct {
	name    string
	address func(set edge.Settings) string
	path    string
}

var places = []place{
	{"path with a route", func(set edge.Settings) string { return set.CallerAddress }, "/recipes/large"},
	{"path without a route", func(set edge.Settings) string { return set.CallerAddress }, "/nothing/x"},
	{"readiness address", func(set edge.Settings) string { return set.ReadyAddress }, "/"},
	{"operator address", func(set edge.Settings) string { return set.OperatorAddress }, "/metrics"},
	{"peer address", func(set edge.Settings) string { return set.PeerAddress }, "/"},
}

const (
	dialTimeout = 3 * time.Second
	// crowdTime bounds the time in which clients send and read. After it they keep their connections
	// open and are silent.
	crowdTime = 4 * time.Second
	// filesCrowd is a number of clients that exceeds the VM's descriptors.
	filesCrowd = files + files/4
	// bodyCrowd is a number of clients whose bodies together exceed the VM's memory three times.
	bodyCrowd = 3 * memoryMiB << 20 / bodyBytes
	// headCrowd is a number of clients that fits the VM's descriptors.
	headCrowd = files * 3 / 4
)

// client sends what it has to send to a connection, whose deadline is set. start is the request line and the
// fields that every request of the place has.
type client func(con net.Conn, num int, start func(method string) string) error

// runCrowd has clients at each place, and checks the VM while their connections are still open.
func runCrowd(t *testing.T, count int, cli client) {
	for _, plc := range places {
		t.Run(plc.name, func(t *testing.T) {
			prc := startVM(t, memoryMiB, bodyBytes)
			var mut sync.Mutex
			var conns []net.Conn
			var wgr sync.WaitGroup
			for num := range count {
				wgr.Go(func() {
					con, err := net.DialTimeout("tcp", plc.address(prc.set), dialTimeout)
					if err != nil {
						return // A refused connection is allowed.
					}
					mut.Lock()
					conns = append(conns, con)
					mut.Unlock()
					_ = con.SetDeadline(time.Now().Add(crowdTime))
					// The VM may refuse the client or close the connection.
					_ = cli(con, num, func(method string) string {
						nms := objects.Names()
						return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: any\r\nAuthorization: Bearer %s\r\n%s: client-%d\r\n", method, plc.path, playground.Key, nms.Request, num)
					})
				})
			}
			wgr.Wait()
			prc.check()
			for _, con := range conns {
				_ = con.Close()
			}
		})
	}
}

var (
	legalBody = make([]byte, bodyBytes)
	// allButEnd is a legal body without its last byte.
	allButEnd = legalBody[:bodyBytes-1]
)

// TestUnfinishedBodiesInOnePiece guards against a VM that holds more bodies than it has memory for. The
// clients send legal bodies, each in one piece, but for the last byte.
func TestUnfinishedBodiesInOnePiece(t *testing.T) {
	runCrowd(t, bodyCrowd, func(con net.Conn, _ int, start func(string) string) error {
		if _, err := fmt.Fprintf(con, "%sContent-Length: %d\r\n\r\n", start("POST"), bodyBytes); err != nil {
			return err
		}
		_, err := con.Write(allButEnd)
		return err
	})
}

// TestUnfinishedBodiesInSmallPieces is like TestUnfinishedBodiesInOnePiece, with bodies in pieces of 4 KiB.
func TestUnfinishedBodiesInSmallPieces(t *testing.T) {
	runCrowd(t, bodyCrowd, func(con net.Conn, _ int, start func(string) string) error {
		_, err := fmt.Fprintf(con, "%sContent-Length: %d\r\n\r\n", start("POST"), bodyBytes)
		for rest := allButEnd; err == nil && len(rest) > 0; rest = rest[min(4<<10, len(rest)):] {
			_, err = con.Write(rest[:min(4<<10, len(rest))])
		}
		return err
	})
}

// TestUnfinishedBodiesInChunks is like TestUnfinishedBodiesInOnePiece, with bodies in chunks of 1 KiB whose last
// one is missing.
func TestUnfinishedBodiesInChunks(t *testing.T) {
	chunks := strings.Repeat("400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", 32)
	runCrowd(t, bodyCrowd, func(con net.Conn, _ int, start func(string) string) error {
		_, err := io.WriteString(con, start("POST")+"Transfer-Encoding: chunked\r\n\r\n")
		for sent := 0; err == nil && sent+32<<10 < bodyBytes; sent += 32 << 10 {
			_, err = io.WriteString(con, chunks)
		}
		return err
	})
}

// TestBodiesOverTheLimit guards against a VM that holds bodies that it must refuse. Half of the clients
// state a length of 1 TiB, the others send chunks, and all go on after the limit.
func TestBodiesOverTheLimit(t *testing.T) {
	runCrowd(t, bodyCrowd, func(con net.Conn, num int, start func(string) string) error {
		framing, piece := "Content-Length: 1099511627776", legalBody[:64<<10]
		if num%2 == 0 {
			framing, piece = "Transfer-Encoding: chunked", []byte("10000\r\n"+string(legalBody[:64<<10])+"\r\n")
		}
		_, err := io.WriteString(con, start("POST")+framing+"\r\n\r\n")
		for sent := 0; err == nil && sent < 2*bodyBytes; sent += len(piece) {
			_, err = con.Write(piece)
		}
		return err
	})
}

// manyFields returns fields with names of few letters that take about the given number of bytes.
func manyFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var out strings.Builder
	for num := 0; out.Len()+7 <= size; num++ {
		out.Write([]byte{letters[num%26], letters[num/26%26], letters[num/676%26], ':', '\r', '\n'})
	}
	return out.String()
}

// TestManyShortFields guards against a VM that accounts for the bytes of a head, but not for the parsed head,
// which takes many times as much if its fields are short. The clients leave out the last byte of the body.
func TestManyShortFields(t *testing.T) {
	fields := manyFields(headerBytes - 1<<10)
	runCrowd(t, headCrowd, func(con net.Conn, _ int, start func(string) string) error {
		_, err := io.WriteString(con, start("POST")+fields+"Content-Length: 2\r\n\r\nx")
		return err
	})
}

// pipeline sends a request 64 times and reads no response.
func pipeline(con net.Conn, req string) error {
	var err error
	for num := 0; err == nil && num < 64; num++ {
		_, err = io.WriteString(con, req)
	}
	return err
}

// TestPipelinedRequestsWithManyFields guards against a VM that parses any number of heads of one connection. The
// clients send many requests ahead and read no response.
func TestPipelinedRequestsWithManyFields(t *testing.T) {
	fields := manyFields(headerBytes - 1<<10)
	runCrowd(t, headCrowd, func(con net.Conn, _ int, start func(string) string) error {
		return pipeline(con, start("GET")+fields+"\r\n")
	})
}

// TestPipelinedBodies guards against a VM that holds the bodies of any number of requests of one
// connection. The clients send many requests ahead and read no response.
func TestPipelinedBodies(t *testing.T) {
	runCrowd(t, headCrowd, func(con net.Conn, _ int, start func(string) string) error {
		return pipeline(con, start("POST")+"Content-Length: 65536\r\n\r\n"+string(legalBody[:64<<10]))
	})
}

// TestSlowSenders guards against a VM that runs out of descriptors. Half of the clients stop in the middle
// of the head, the others send it byte by byte.
func TestSlowSenders(t *testing.T) {
	runCrowd(t, filesCrowd, func(con net.Conn, num int, start func(string) string) error {
		head := start("POST") + "Content-Length: 2\r\n\r\nx"
		if num%2 == 0 {
			_, err := io.WriteString(con, head[:len(head)/2])
			return err
		}
		var err error
		for at := 0; err == nil && at < len(head); at++ {
			_, err = io.WriteString(con, head[at:at+1])
			time.Sleep(20 * time.Millisecond)
		}
		return err
	})
}

// TestSilentClients guards against a VM that runs out of descriptors by connections without a request. Half of
// the clients send nothing, the others one request whose response they read.
func TestSilentClients(t *testing.T) {
	runCrowd(t, filesCrowd, func(con net.Conn, num int, start func(string) string) error {
		if num%2 == 0 {
			return nil
		}
		if _, err := io.WriteString(con, start("GET")+"\r\n"); err != nil {
			return err
		}
		_, err := con.Read(make([]byte, 1))
		return err
	})
}

// TestSlowReaders guards against a VM that holds responses, and the requests and connections behind them, of any
// number of callers that hardly read them.
func TestSlowReaders(t *testing.T) {
	runCrowd(t, filesCrowd, func(con net.Conn, _ int, start func(string) string) error {
		_, err := io.WriteString(con, strings.Repeat(start("GET")+"\r\n", 16))
		var buf [1]byte
		for err == nil {
			_, err = con.Read(buf[:])
			time.Sleep(100 * time.Millisecond)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		return err
	})
}

// runFrameCrowd has clients send frames, without their length, to the port for other VMs, and checks the VM while their
// connections are still open. Each frame has the given length, also where not all of it is sent.
func runFrameCrowd(t *testing.T, length int, frame func(num int) []byte) {
	prc := startVM(t, memoryMiB, bodyBytes)
	var wgr sync.WaitGroup
	for num := range filesCrowd {
		wgr.Go(func() {
			con, err := net.DialTimeout("tcp", prc.set.PeerAddress, dialTimeout)
			if err != nil {
				return // A refused connection is allowed.
			}
			t.Cleanup(func() { _ = con.Close() })
			_ = con.SetDeadline(time.Now().Add(crowdTime))
			// The VM may close the connection.
			if _, err := con.Write(binary.BigEndian.AppendUint32(nil, uint32(length))); err == nil {
				_, _ = con.Write(frame(num))
			}
		})
	}
	wgr.Wait()
	prc.check()
}

// TestUnfinishedFrames guards against a VM that makes room for the messages that clients announce at the port for
// other VMs, or for any number of connections there. Each client announces a frame of 2 MiB, the greatest, and half
// of them send it but for the last byte.
func TestUnfinishedFrames(t *testing.T) {
	const frameBytes = 2 << 20
	runFrameCrowd(t, frameBytes, func(num int) []byte { return legalBody[:num%2*(frameBytes-1)] })
}

// TestCompressedFrames guards against a VM that decompresses whatever clients send to the port for other VMs. Each frame has
// a thousandth of the size of what it stands for, 15 MiB, and is no message.
func TestCompressedFrames(t *testing.T) {
	const kindCompressed = 8
	var raw bytes.Buffer
	raw.WriteByte(kindCompressed)
	cmp, err := flate.NewWriter(&raw, flate.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := cmp.Write(make([]byte, 15<<20)); err != nil {
		t.Fatal(err)
	}
	if err := cmp.Close(); err != nil {
		t.Fatal(err)
	}
	runFrameCrowd(t, raw.Len(), func(int) []byte { return raw.Bytes() })
}

// TestSingleRequestsInsideTheLimitsAreServed guards against limits on memory that refuse what the limits on
// requests allow, without any load: a body of 64 MiB, the default limit, at the smallest VM, stated by its length or
// in chunks, and a head with very many fields.
func TestSingleRequestsInsideTheLimitsAreServed(t *testing.T) {
	const smallestMiB, largestBody = 184, 64 << 20
	prc := startVM(t, smallestMiB, largestBody)
	if problem := prc.ask("http://" + prc.set.CallerAddress + "/recipes/x"); problem != "" {
		t.Fatalf("the VM does not serve: %s", problem)
	}
	start := fmt.Sprintf("POST /recipes/x HTTP/1.1\r\nHost: any\r\nAuthorization: Bearer %s\r\n%s: single\r\n%s: %s\r\n",
		playground.Key, objects.Names().Request, objects.Names().Timeout, objects.Names().FormatTimeout(time.Minute))
	chunks := func(wrt io.Writer) error {
		chunk := []byte("10000\r\n" + string(legalBody[:64<<10]) + "\r\n")
		var err error
		for sent := 0; err == nil && sent < largestBody; sent += 64 << 10 {
			_, err = wrt.Write(chunk)
		}
		if err != nil {
			return err
		}
		_, err = io.WriteString(wrt, "0\r\n\r\n")
		return err
	}
	length := func(wrt io.Writer) error {
		var err error
		for sent := 0; err == nil && sent < largestBody; sent += bodyBytes {
			_, err = wrt.Write(legalBody)
		}
		return err
	}
	nothing := func(io.Writer) error { return nil }
	for _, one := range []struct {
		name, fields string
		write        func(wrt io.Writer) error
	}{
		{"length", fmt.Sprintf("Content-Length: %d\r\n", largestBody), length},
		{"chunks", "Transfer-Encoding: chunked\r\n", chunks},
		{"fields", manyFields(headerBytes-1<<10) + "Content-Length: 0\r\n", nothing},
	} {
		t.Run(one.name, func(t *testing.T) {
			con, err := net.DialTimeout("tcp", prc.set.CallerAddress, dialTimeout)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = con.Close() }()
			_ = con.SetDeadline(time.Now().Add(time.Minute))
			if _, err := io.WriteString(con, start+one.fields+"\r\n"); err != nil {
				t.Fatal(err)
			}
			if err := one.write(con); err != nil {
				t.Errorf("the VM does not read the whole request: %v", err)
			}
			rsp, err := http.ReadResponse(bufio.NewReader(con), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = rsp.Body.Close() }()
			if rsp.StatusCode != http.StatusOK {
				raw, _ := io.ReadAll(rsp.Body) // What can be read of it.
				t.Errorf("%s: %s", rsp.Status, raw)
			}
		})
	}
	prc.check()
}

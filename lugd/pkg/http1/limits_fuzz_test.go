package http1

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/memory"
	"marigoldlug.example/core/request"
	"marigoldlug.example/lugd/pkg/budget"
)

// FuzzReadingGivesBackWhatItTakes guards against requests, also malformed ones and more than there is memory for, after which a
// connection leaves memory or descriptors taken, or takes more than there is.
func FuzzReadingGivesBackWhatItTakes(fuz *testing.F) {
	for _, txt := range []string{
		"GET /x HTTP/1.1\r\nHost: h\r\n\r\nGET /refuse HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\nhello",
		"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx",
		"GET /x HTTP/1.0\r\n\r\n",
	} {
		fuz.Add([]byte(txt), uint16(200))
		fuz.Add([]byte(txt), uint16(60))
	}
	fuz.Fuzz(func(t *testing.T, input []byte, kib uint16) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		fks := &fakes{actions: make(map[request.ID]chan gateway.Action), paths: make(map[string]bool)}
		size := int64(kib) << 10
		bds := Budgets{
			Memory: budget.New(memory.Limits{Size: size, Reserve: size / 8, Small: SmallRequestBytes}),
			Files:  budget.New(memory.Limits{Size: 4, Small: SmallRequestFiles}), Reporter: budget.NewReporter(),
		}
		srv := New(Settings{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second, BodyTimeout: time.Second}, bds, names(), fks, fks, fks, log)
		client, server := net.Pipe()
		con := newConn(srv, server)
		if !con.admit() {
			con.discard()
		} else {
			go func() { _, _ = io.Copy(io.Discard, client) }()
			go func() {
				_, _ = client.Write(input) // The server may close the connection.
				_ = client.Close()
			}()
			con.serve()
		}
		if bytes, files := bds.Memory.Held(), bds.Files.Held(); bytes != 0 || files != 0 {
			t.Errorf("%d bytes and %d descriptors are held", bytes, files)
		}
	})
}

package playground

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/table"
	"marigoldlug.example/lugd/pkg/driver"
)

// Links are the links from one VM to all targets. Each target is reached through a port of its own, which can be
// cut. It is safe for concurrent use.
type Links struct {
	mut sync.Mutex
	// ports are the addresses of the links, by that of their target.
	ports map[string]string
	// listeners are the open ports, by their address.
	listeners map[string]net.Listener
	// conns are the open connections.
	conns map[net.Conn]bool
	cut   bool
}

// NewLinks returns links that work.
func NewLinks() *Links {
	return &Links{ports: make(map[string]string), listeners: make(map[string]net.Listener), conns: make(map[net.Conn]bool)}
}

// Cut has new connections refused, and open ones reset if reset is set.
func (lnk *Links) Cut(reset bool) {
	lnk.mut.Lock()
	defer lnk.mut.Unlock()
	lnk.cut = true
	for _, lis := range lnk.listeners {
		_ = lis.Close()
	}
	clear(lnk.listeners)
	if !reset {
		return
	}
	for con := range lnk.conns {
		if tcp, ok := con.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = con.Close()
	}
}

// Mend has the links work again.
func (lnk *Links) Mend() error {
	lnk.mut.Lock()
	defer lnk.mut.Unlock()
	lnk.cut = false
	for tgt, port := range lnk.ports {
		if _, err := lnk.listen(port, tgt); err != nil {
			return err
		}
	}
	return nil
}

// port returns the address at which the VM reaches a target.
func (lnk *Links) port(tgt string) (string, error) {
	lnk.mut.Lock()
	defer lnk.mut.Unlock()
	if port, found := lnk.ports[tgt]; found {
		return port, nil
	}
	if lnk.cut {
		return "", errors.New("the links are cut")
	}
	port, err := lnk.listen("127.0.0.1:0", tgt)
	if err == nil {
		lnk.ports[tgt] = port
	}
	return port, err
}

func (lnk *Links) listen(port, tgt string) (string, error) {
	lis, err := net.Listen("tcp", port)
	if err != nil {
		return "", err
	}
	address := lis.Addr().String()
	lnk.listeners[address] = lis
	go lnk.serve(lis, tgt)
	return address, nil
}

func (lnk *Links) serve(lis net.Listener, tgt string) {
	for {
		con, err := lis.Accept()
		if err != nil {
			return
		}
		go lnk.copy(con, tgt)
	}
}

// copy connects a connection of the VM with the target until one of the two ends.
func (lnk *Links) copy(con net.Conn, tgt string) {
	out, err := net.DialTimeout("tcp", tgt, time.Second)
	if err != nil {
		_ = con.Close()
		return
	}
	lnk.mut.Lock()
	lnk.conns[con] = true
	lnk.mut.Unlock()
	go func() {
		_, _ = io.Copy(out, con)
		_ = out.Close()
	}()
	_, _ = io.Copy(con, out)
	_ = con.Close()
	lnk.mut.Lock()
	delete(lnk.conns, con)
	lnk.mut.Unlock()
}

// linkedPlatform shows a VM the targets at the ports of its links.
type linkedPlatform struct {
	driver.Platform

	links *Links
}

// Targets returns the targets; see driver.Platform.
func (pla linkedPlatform) Targets() driver.Source[registry.Entry] {
	return linkedTargets{source: pla.Platform.Targets(), links: pla.links}
}

type linkedTargets struct {
	source driver.Source[registry.Entry]
	links  *Links
}

// List lists the targets; see driver.Source.
func (tgs linkedTargets) List(ctx context.Context, allowStale bool) (table.Delta[registry.Entry], error) {
	del, err := tgs.source.List(ctx, allowStale)
	return tgs.translate(del, err)
}

// Watch returns changes; see driver.Source.
func (tgs linkedTargets) Watch(ctx context.Context, since uint64, wait time.Duration) (table.Delta[registry.Entry], error) {
	del, err := tgs.source.Watch(ctx, since, wait)
	return tgs.translate(del, err)
}

func (tgs linkedTargets) translate(del table.Delta[registry.Entry], err error) (table.Delta[registry.Entry], error) {
	if err != nil {
		return del, err
	}
	for num := range del.Rows {
		if del.Rows[num].Value.Address, err = tgs.links.port(del.Rows[num].Value.Address); err != nil {
			return del, err
		}
	}
	return del, nil
}

package target

import (
	"slices"
	"time"
)

// getIdle returns a usable connection that may carry the request, or nil. A response can be told from a
// repeated one to an earlier request only by an ID that none of those had.
func (pol *Pool) getIdle(cal Call) *conn {
	if pol.set.Names.Request != "" && cal.CallerRequestID == "" {
		return nil
	}
	for {
		con := pol.popIdle(cal.peer())
		if con == nil {
			return nil
		}
		idle := time.Since(con.lastUsed)
		repeated := cal.CallerRequestID != "" && slices.Contains(con.carried, cal.CallerRequestID)
		if !repeated && idle <= pol.reuse.maxIdle(con.keepAlive, cal.Idempotent) && con.usable() {
			con.sent, con.idleBefore = 0, idle
			return con
		}
		_ = con.Close()
	}
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (pol *Pool) popIdle(address string) *conn {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	list := pol.idle[address]
	if len(list) == 0 {
		return nil
	}
	con := list[len(list)-1]
	pol.idle[address] = list[:len(list)-1]
	return con
}

// putIdle adds a connection whose exchange is complete to the idle ones, or closes it if there are
// IdlePerTarget of them.
func (pol *Pool) putIdle(con *conn) {
	con.lastUsed = time.Now()
	pol.mut.Lock()
	full := len(pol.idle[con.address]) >= pol.set.IdlePerTarget
	if !full {
		pol.idle[con.address] = append(pol.idle[con.address], con)
	}
	pol.mut.Unlock()
	if full {
		_ = con.Close()
	}
}

// Sweep closes the connections that have been idle for longer than maxIdleTime.
func (pol *Pool) Sweep(now time.Time) {
	var old []*conn
	pol.mut.Lock()
	for address, list := range pol.idle {
		kept := list[:0]
		for _, con := range list {
			if now.Sub(con.lastUsed) > maxIdleTime {
				old = append(old, con)
				continue
			}
			kept = append(kept, con)
		}
		pol.idle[address] = kept
		if len(kept) == 0 {
			delete(pol.idle, address)
		}
	}
	pol.mut.Unlock()
	for _, con := range old {
		_ = con.Close()
	}
}

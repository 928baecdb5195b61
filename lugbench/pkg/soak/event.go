package soak

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// inForce says which settings a VM has in force after a change of its file, if
// that is known: those of before, or ones with a small or a great bound of heads.
type inForce string

const (
	asBefore inForce = ""
	narrow   inForce = "narrow"
	wide     inForce = "wide"
	unknown  inForce = "unknown"
)

// Contents of the settings file. wrongFile has a good line and a wrong one.
// Without lines, the defaults are in force, which are wide.
const (
	narrowFile = "max-header-bytes=4096\n"
	wideFile   = "max-header-bytes=16384\n"
	wrongFile  = "max-header-bytes=16384\nheader-timeout=never\n"
	// longHead is longer than what narrow settings allow and shorter than what
	// wide ones do, in bytes.
	longHead = 8 << 10
)

// event is something that may come to a VM at any time of its life. Only a signal
// to stop may end the process, and no event may cut a request.
type event struct {
	name string
	// act does what goes before the signal; it may be nil.
	act func(prc *process)
	// signal is 0 where none is sent.
	signal syscall.Signal
	// hold is how long a change of the settings file may take to be in force, and
	// after what then is.
	hold  time.Duration
	after inForce
}

const (
	// lossTime is how long what is lost and regained in one event is away.
	lossTime = 100 * time.Millisecond
	// takeOverTime is how long a change of the settings file may take to be in
	// force without a signal, and signalTime with one.
	takeOverTime = 3 * time.Second
	signalTime   = time.Second
)

// silence loses what is sent either way.
var silence = wire{muteUp: true, muteDown: true}

// events lists what may come to a VM. With the phases of its life it spans the
// table of cells that runs go through.
var events = append([]event{
	{name: "SIGHUP", signal: syscall.SIGHUP},
	{name: "SIGTERM", signal: syscall.SIGTERM},
	{name: "SIGINT", signal: syscall.SIGINT},
	{name: "SIGQUIT", signal: syscall.SIGQUIT},
	{name: "SIGUSR1", signal: syscall.SIGUSR1},
	{name: "SIGUSR2", signal: syscall.SIGUSR2},
	{name: "SIGPIPE", signal: syscall.SIGPIPE},
	{name: "store lost", act: func(prc *process) { prc.store.set(silence) }},
	{name: "store regained", act: func(prc *process) {
		prc.store.set(silence)
		time.Sleep(lossTime)
		prc.store.set(wire{})
	}},
	{name: "peers lost", act: func(prc *process) { prc.peers.set(silence) }},
	{name: "logs not read", act: func(prc *process) { _ = prc.run.Load().logs.SetReadDeadline(time.Now()) }},
	{name: "reader of logs gone", act: func(prc *process) { _ = prc.run.Load().logs.Close() }},
}, append(fileEvents("", 0, takeOverTime), fileEvents(" with SIGHUP", syscall.SIGHUP, signalTime)...)...)

// fileEvents returns the changes of the settings file, each followed by a signal.
func fileEvents(suffix string, sig syscall.Signal, hold time.Duration) []event {
	write := func(content string) func(prc *process) { return func(prc *process) { prc.writeSettings(content) } }
	remove := func(prc *process) { _ = os.Remove(prc.file) } // It may be missing.
	back := func(prc *process) {
		remove(prc)
		time.Sleep(lossTime)
		prc.writeSettings(narrowFile)
	}
	return []event{
		{name: "settings changed" + suffix, act: write(wideFile), signal: sig, hold: hold, after: wide},
		{name: "settings wrong" + suffix, act: write(wrongFile), signal: sig, hold: hold},
		{name: "settings empty" + suffix, act: write(""), signal: sig, hold: hold, after: wide},
		{name: "settings missing" + suffix, act: remove, signal: sig, hold: hold},
		{name: "settings back" + suffix, act: back, signal: sig, hold: hold, after: narrow},
	}
}

// writeSettings replaces the settings file at once.
func (prc *process) writeSettings(content string) {
	next := fmt.Sprint(prc.file, time.Now().UnixNano())
	err := os.WriteFile(next, []byte(content), 0o600)
	if err == nil {
		err = os.Rename(next, prc.file)
	}
	prc.flt.rep.check(err)
}

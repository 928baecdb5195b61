package soak

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// headerLimit says which limit of header bytes a VM should have in force after a
// change of its settings file: the one from before, a low or a high one, or unknown. The
// report prints its values.
type headerLimit string

const (
	unchangedLimit headerLimit = ""
	lowLimit       headerLimit = "narrow"
	highLimit      headerLimit = "wide"
	unknownLimit   headerLimit = "unknown"
)

// Contents of the settings file. invalidSettings has a valid line and an invalid one.
// An empty file puts the defaults in force, whose limit counts as highLimit.
const (
	lowLimitSettings  = "max-header-bytes=4096\n"
	highLimitSettings = "max-header-bytes=16384\n"
	invalidSettings   = "max-header-bytes=16384\nheader-timeout=never\n"
	// longHeadBytes lies between the limits of lowLimitSettings and highLimitSettings.
	longHeadBytes = 8 << 10
)

// event is a signal or a fault that may reach a VM in any phase. Only a signal to stop
// may end the process, and no event may cut a request.
type event struct {
	name string
	// act is called before the signal is sent; it may be nil.
	act func(prc *process)
	// signal is 0 where none is sent.
	signal syscall.Signal
	// reloadTime is how long a change of the settings file may take to be in force, 0
	// for events that don't change it, and limitAfter is the limit in force then.
	reloadTime time.Duration
	limitAfter headerLimit
}

const (
	// outageTime is how long the store or the settings file is missing in events that
	// take it away and bring it back.
	outageTime = 100 * time.Millisecond
	// pollReloadTime is how long a change of the settings file may take to be in force
	// without a signal, since lugd polls the file every 2 s, and signalReloadTime is how
	// long it may take with SIGHUP.
	pollReloadTime   = 3 * time.Second
	signalReloadTime = time.Second
)

// dropBoth drops what is sent either way, although TCP acknowledges it to the sender.
var dropBoth = linkFaults{muteUp: true, muteDown: true}

// events are all events that may reach a VM. Each of them in each phase is a cell of the
// coverage table.
var events = append([]event{
	{name: "SIGHUP", signal: syscall.SIGHUP},
	{name: "SIGTERM", signal: syscall.SIGTERM},
	{name: "SIGINT", signal: syscall.SIGINT},
	{name: "SIGQUIT", signal: syscall.SIGQUIT},
	{name: "SIGUSR1", signal: syscall.SIGUSR1},
	{name: "SIGUSR2", signal: syscall.SIGUSR2},
	{name: "SIGPIPE", signal: syscall.SIGPIPE},
	{name: "store lost", act: func(prc *process) { prc.store.setFaults(dropBoth) }},
	{name: "store regained", act: func(prc *process) {
		prc.store.setFaults(dropBoth)
		time.Sleep(outageTime)
		prc.store.setFaults(linkFaults{})
	}},
	{name: "peers lost", act: func(prc *process) { prc.peers.setFaults(dropBoth) }},
	// The soak stops copying the logs, whose pipe then fills up.
	{name: "logs not read", act: func(prc *process) { _ = prc.run.Load().logs.SetReadDeadline(time.Now()) }},
	{name: "reader of logs gone", act: func(prc *process) { _ = prc.run.Load().logs.Close() }},
}, append(settingsEvents("", 0, pollReloadTime), settingsEvents(" with SIGHUP", syscall.SIGHUP, signalReloadTime)...)...)

// settingsEvents returns the events that change the settings file, each followed by
// sig, unless that is 0.
func settingsEvents(suffix string, sig syscall.Signal, reloadTime time.Duration) []event {
	write := func(content string) func(prc *process) { return func(prc *process) { prc.writeSettings(content) } }
	remove := func(prc *process) { _ = os.Remove(prc.settingsFile) } // It may be missing.
	back := func(prc *process) {
		remove(prc)
		time.Sleep(outageTime)
		prc.writeSettings(lowLimitSettings)
	}
	return []event{
		{name: "settings changed" + suffix, act: write(highLimitSettings), signal: sig, reloadTime: reloadTime, limitAfter: highLimit},
		{name: "settings wrong" + suffix, act: write(invalidSettings), signal: sig, reloadTime: reloadTime},
		{name: "settings empty" + suffix, act: write(""), signal: sig, reloadTime: reloadTime, limitAfter: highLimit},
		{name: "settings missing" + suffix, act: remove, signal: sig, reloadTime: reloadTime},
		{name: "settings back" + suffix, act: back, signal: sig, reloadTime: reloadTime, limitAfter: lowLimit},
	}
}

// writeSettings replaces the settings file atomically.
func (prc *process) writeSettings(content string) {
	next := fmt.Sprint(prc.settingsFile, time.Now().UnixNano())
	err := os.WriteFile(next, []byte(content), 0o600)
	if err == nil {
		err = os.Rename(next, prc.settingsFile)
	}
	prc.flt.rep.check(err)
}

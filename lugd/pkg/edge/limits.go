package edge

import (
	"math"
	"net"
	"syscall"

	"marigoldlug.example/core/memory"
	"marigoldlug.example/lugd/pkg/budget"
	"marigoldlug.example/lugd/pkg/http1"
	"marigoldlug.example/lugd/pkg/metrics"
)

// The parts of the VM's memory. The rest is for the VM itself and for garbage: the limit of the collector is at three
// quarters of the memory.
const (
	// callerMemoryDivisor gives the part that callers may make the VM hold. Seven eighths of it, what a single large
	// request may take, are above 64 MiB at 184 MiB.
	callerMemoryDivisor = 2
	// peerMemoryDivisor gives the part for frames of other VMs that have not arrived as a whole, and operatorMemoryDivisor
	// that for requests of operators and of the balancer.
	peerMemoryDivisor     = 16
	operatorMemoryDivisor = 16
	// smallBytes is what an ordinary request of an operator or of the balancer, or an ordinary frame, takes at most.
	smallBytes = 64 << 10
	// reserveDivisor gives the part of each of these that only small holders get.
	reserveDivisor = 8
)

// The parts of the descriptors. The rest, an eighth, is for the connections that the VM opens to the store and to other
// VMs, and for files.
const (
	// callerFilesEighths is the part for connections of callers and for the connections to targets, in eighths, and
	// peerFilesEighths that for connections of other VMs. Each other VM may have one, however many callers there are.
	callerFilesEighths = 3
	peerFilesEighths   = 3
	// readyFilesDivisor gives the part for connections of the balancer, and operatorFilesDivisor that for those of operators.
	readyFilesDivisor    = 16
	operatorFilesDivisor = 16
	// maxReadyFiles and maxOperatorFiles bound the connections of the balancer and of operators also where there are many
	// descriptors, since each takes memory: a response to an operator is compressed, with about 1 MiB of state.
	maxReadyFiles    = 256
	maxOperatorFiles = 16
	// minFiles is the least number of descriptors for which each part has some.
	minFiles = 32
)

// budgets are the bounds on what all clients of the VM make it hold.
type budgets struct {
	callers http1.Budgets
	// peerMemory is for frames of other VMs, and operatorMemory for requests of operators and of the balancer.
	peerMemory, operatorMemory *budget.Budget
	// peerFiles, readyFiles and operatorFiles are for the connections of other VMs, of the balancer and of operators.
	peerFiles, readyFiles, operatorFiles *budget.Budget
}

func newBudgets(set Settings) *budgets {
	bds := &budgets{
		callers:    http1.Budgets{Memory: budget.NewMemory(memory.Limits{}), Files: budget.Unlimited(), Reporter: budget.NewReporter()},
		peerMemory: budget.NewMemory(memory.Limits{}), operatorMemory: budget.NewMemory(memory.Limits{}),
		peerFiles: budget.Unlimited(), readyFiles: budget.Unlimited(), operatorFiles: budget.Unlimited(),
	}
	bds.resize(set)
	return bds
}

// resize applies changed settings.
func (bds *budgets) resize(set Settings) {
	size := int64(set.MemoryMiB) * mib
	callers := size / callerMemoryDivisor
	bds.callers.Memory.SetLimits(memory.Limits{Size: callers, Reserve: callers / reserveDivisor, Small: http1.SmallRequestBytes})
	bds.peerMemory.SetLimits(memory.Limits{Size: size / peerMemoryDivisor, Small: smallBytes})
	bds.operatorMemory.SetLimits(memory.Limits{Size: size / operatorMemoryDivisor, Small: smallBytes})
	files := maxFiles(set)
	// Connections at rest take at most half of the callers' memory.
	callerFiles := min(files*callerFilesEighths/8, callers/2/http1.ConnectionBytes)
	bds.callers.Files.SetLimits(memory.Limits{Size: callerFiles, Reserve: callerFiles / reserveDivisor, Small: http1.SmallRequestFiles})
	bds.peerFiles.SetLimits(memory.Limits{Size: files * peerFilesEighths / 8})
	bds.readyFiles.SetLimits(memory.Limits{Size: min(files/readyFilesDivisor, maxReadyFiles)})
	bds.operatorFiles.SetLimits(memory.Limits{Size: min(files/operatorFilesDivisor, maxOperatorFiles)})
}

// maxFiles returns how many descriptors the process may have: the setting, or less if the process has a lower limit.
func maxFiles(set Settings) int64 {
	out := int64(math.MaxInt32)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		out = int64(limit.Cur)
	}
	if set.MaxFiles > 0 {
		out = min(out, int64(set.MaxFiles))
	}
	return out
}

// limitListeners bounds the connections of all clients but the callers, whose server does it.
func (dmn *Daemon) limitListeners() {
	limit := func(lis net.Listener, files, mem *budget.Budget, cause string) net.Listener {
		if lis == nil {
			return nil
		}
		return budget.Limit(lis, files, mem, dmn.budgets.callers.Reporter, dmn.log, cause)
	}
	lis, bds := &dmn.listeners, dmn.budgets
	lis.ready = limit(lis.ready, bds.readyFiles, bds.operatorMemory, "readyConnections")
	lis.operators = limit(lis.operators, bds.operatorFiles, bds.operatorMemory, "operatorConnections")
	lis.peers = limit(lis.peers, bds.peerFiles, nil, "peerConnections")
}

// register adds the metrics of what is held.
func (bds *budgets) register(met *metrics.Set) {
	held := func(bud *budget.Budget) func() float64 { return func() float64 { return float64(bud.Held()) } }
	met.Gauge("caller_held_bytes", "Memory that callers make the VM hold, as it accounts for it.", held(bds.callers.Memory))
	met.Gauge("caller_held_descriptors", "Connections of callers and requests in flight, one descriptor each.", held(bds.callers.Files))
	met.Gauge("peer_held_bytes", "Memory for frames of other VMs that are being read.", held(bds.peerMemory))
	met.Gauge("peer_held_descriptors", "Connections that other VMs have opened.", held(bds.peerFiles))
	met.Gauge("operator_held_bytes", "Memory for requests of operators and of the balancer.", held(bds.operatorMemory))
	met.LabelledCounter("limited_total", "Clients that were refused or closed, by cause.", "cause", bds.callers.Reporter.Counts)
}

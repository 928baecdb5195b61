package request

// Retries says how many retries a VM may spend on a service.
type Retries struct {
	// Share is what each request adds.
	Share float64
	// Reserve is what the VM may spend at first, and Max the most it gathers,
	// since all VMs spend what they have at once when targets fail.
	Reserve, Max float64
}

// UsualRetries lets retries add a tenth to the load.
func UsualRetries() Retries { return Retries{Share: 0.1, Reserve: 1, Max: 3} }

// Budget bounds the retries of one VM for one service by the number of its
// requests.
type Budget struct {
	retries Retries
	credit  float64
}

// NewBudget returns a budget that holds its reserve.
func NewBudget(rts Retries) *Budget { return &Budget{retries: rts, credit: rts.Reserve} }

// SetRetries changes what the budget gathers from now on.
func (bud *Budget) SetRetries(rts Retries) {
	bud.retries = rts
	bud.credit = min(bud.credit, rts.Max)
}

// Deposit counts a request.
func (bud *Budget) Deposit() { bud.credit = min(bud.credit+bud.retries.Share, bud.retries.Max) }

// Withdraw takes one retry and reports whether the budget allowed it.
func (bud *Budget) Withdraw() bool {
	if bud.credit < 1 {
		return false
	}
	bud.credit--
	return true
}

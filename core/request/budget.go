package request

// The budget lets retries add a tenth to the load. What it gathers in quiet
// times stays small, since all VMs spend it at once when targets fail.
const (
	budgetShare   = 0.1
	budgetReserve = 1.0
	budgetMax     = 3.0
)

// Budget bounds the retries of one VM for one service by the number of its
// requests.
type Budget struct {
	credit float64
}

// NewBudget returns a budget that holds its reserve.
func NewBudget() *Budget { return &Budget{credit: budgetReserve} }

// Deposit counts a request.
func (bud *Budget) Deposit() { bud.credit = min(bud.credit+budgetShare, budgetMax) }

// Withdraw takes one retry and reports whether the budget allowed it.
func (bud *Budget) Withdraw() bool {
	if bud.credit < 1 {
		return false
	}
	bud.credit--
	return true
}

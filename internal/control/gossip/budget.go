package gossip

// BudgetPerPart is how many bytes, summed over all receivers, one part of a query adds to the budget, as a fraction of
// MaxMessageBytes.
const BudgetPerPart = 0.4

// Budget limits the bytes of messages in proportion to the parts of queries that an aggregator accepted. Make it with
// NewBudget; it is not safe for concurrent use.
type Budget struct {
	Bytes       float64 // that may be sent now, summed over the receivers
	aggregators int     // that exchange messages, this one included
}

// NewBudget returns the empty budget of one of so many aggregators.
func NewBudget(aggregators int) Budget { return Budget{aggregators: aggregators} }

// Accrue adds the bytes for so many parts, up to a limit of one message of maximum length to each aggregator.
func (b *Budget) Accrue(parts int) {
	limit := MaxMessageBytes * float64(b.aggregators)
	b.Bytes = min(b.Bytes+BudgetPerPart*MaxMessageBytes*float64(parts), limit)
}

// Spend deducts a message with so many observations to all other aggregators from the budget and reports whether the
// budget is large enough; if not, it is not changed.
func (b *Budget) Spend(observations int) bool {
	size := float64(EncodedSize(observations) * (b.aggregators - 1))
	if b.Bytes < size {
		return false
	}
	b.Bytes -= size
	return true
}

package gossip

// BudgetPerPart is how many bytes, delivered to all other aggregators together, a part of a query earns, as a fraction
// of the longest message.
const BudgetPerPart = 0.4

// Budget limits messages to what the parts of queries that an aggregator served have earned. Make it with NewBudget; it
// is not safe for concurrent use.
type Budget struct {
	Bytes       float64 // that may be sent now, summed over the receivers
	aggregators int     // that exchange messages, this one included
}

// NewBudget returns an empty budget of one of so many aggregators.
func NewBudget(aggregators int) Budget { return Budget{aggregators: aggregators} }

// Earn adds what so many parts earn. A budget holds at most one full message to each aggregator.
func (b *Budget) Earn(parts int) {
	limit := MaxMessageBytes * float64(b.aggregators)
	b.Bytes = min(b.Bytes+BudgetPerPart*MaxMessageBytes*float64(parts), limit)
}

// Spend takes a message with so many observations, sent to all others, from the budget, and reports whether the budget
// is large enough; if not, it stays as it is.
func (b *Budget) Spend(observations int) bool {
	size := float64(EncodedSize(observations) * (b.aggregators - 1))
	if b.Bytes < size {
		return false
	}
	b.Bytes -= size
	return true
}

package quota

import "slices"

// DivideMaxMin divides units by max-min fairness and returns the quotas, in the order of the demands. Whoever gets
// less than it demands gets as much as anybody else, but for one unit; nobody gets more than it demands until all
// demands are met. Units beyond all demands are divided evenly, since the next demands are not known. Quotas of
// equal demands may differ by one unit, with the larger first.
func DivideMaxMin(units int, demands []int) []int {
	quotas := make([]int, len(demands))
	ascending := make([]int, len(demands)) // indices of demands, the smallest first
	for i := range ascending {
		ascending[i] = i
	}
	slices.SortStableFunc(ascending, func(i, j int) int { return demands[i] - demands[j] })
	remaining := units
	for served, i := range ascending { // each gets an even part of what remains, or all it demands
		evenPart := remaining / (len(ascending) - served)
		quotas[i] = max(0, min(demands[i], evenPart))
		remaining -= quotas[i]
	}
	for _, i := range ascending { // units that the integer divisions left over
		if remaining > 0 && quotas[i] < demands[i] {
			quotas[i]++
			remaining--
		}
	}
	for served, i := range ascending { // units beyond all demands
		evenPart := remaining / (len(ascending) - served)
		quotas[i] += evenPart
		remaining -= evenPart
	}
	return quotas
}

package quota

import "slices"

// DivideMaxMin divides units by max-min fairness and returns the quotas, in the order of the demands. A quota below its
// demand is at most one unit smaller than any other, and no quota exceeds its demand until all demands are met. Units
// beyond all demands are divided evenly, since future demands are unknown. Quotas of equal demands may differ by one
// unit, with the larger first.
func DivideMaxMin(units int, demands []int) []int {
	quotas := make([]int, len(demands))
	ascending := make([]int, len(demands)) // indices of demands, the smallest first
	for i := range ascending {
		ascending[i] = i
	}
	slices.SortStableFunc(ascending, func(i, j int) int { return demands[i] - demands[j] })
	remaining := units
	for served, i := range ascending { // each is an equal share of the remaining units, or the demand if that is less
		equalShare := remaining / (len(ascending) - served)
		quotas[i] = max(0, min(demands[i], equalShare))
		remaining -= quotas[i]
	}
	for _, i := range ascending { // the remainder of the integer divisions
		if remaining > 0 && quotas[i] < demands[i] {
			quotas[i]++
			remaining--
		}
	}
	for served, i := range ascending { // units beyond all demands
		equalShare := remaining / (len(ascending) - served)
		quotas[i] += equalShare
		remaining -= equalShare
	}
	return quotas
}

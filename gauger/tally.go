package gauger

// tally is a sum of values that loses weight with time.
type tally struct {
	// sum is the sum of the values, each multiplied by what is left of its weight.
	sum, weight float64
}

// add adds values of a sum and reduces the weight of all to the maximum.
func (tally *tally) add(sum, weight, maximum float64) {
	tally.sum += sum
	tally.weight += weight

	if tally.weight > maximum {
		tally.decay(maximum / tally.weight)
	}
}

func (tally *tally) decay(factor float64) {
	tally.sum *= factor
	tally.weight *= factor
}

// mean returns the mean with a number of values added that equal the prior.
func (tally *tally) mean(prior, priorWeight float64) float64 {
	return (tally.sum + prior*priorWeight) / (tally.weight + priorWeight)
}

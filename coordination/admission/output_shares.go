package admission

// outputShares learns which fraction of the bound on generated tokens the requests
// of a class use: callers give a bound, and most answers are far shorter.
type outputShares map[string]float64

// initialOutputShare is assumed for a class that has no answer yet. outputShareGain
// is the weight of one answer: the estimate settles after some tens of answers.
const (
	initialOutputShare = 0.33
	outputShareGain    = 0.05
)

// expectedTokens returns the number of tokens that a request of the class is
// expected to generate.
func (o outputShares) expectedTokens(class string, bound int) float64 {
	share, known := o[class]
	if !known {
		share = initialOutputShare
	}
	return share * float64(bound)
}

// observe updates the fraction of the class with the number of tokens of a complete
// answer.
func (o outputShares) observe(class string, bound int, tokens float64) {
	if bound <= 0 {
		return
	}
	share, known := o[class]
	if !known {
		share = initialOutputShare
	}
	o[class] = share + outputShareGain*(min(tokens/float64(bound), 1)-share)
}

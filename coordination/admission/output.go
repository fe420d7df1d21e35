package admission

// outputs learns which part of the bound on generated tokens the requests of a
// class use: callers give a bound, and most answers are far shorter.
type outputs map[string]float64

// firstOutput is presumed of a class that has no answer yet, and outputGain is
// the weight of one answer: some tens of them settle it.
const (
	firstOutput = 0.33
	outputGain  = 0.05
)

// expect returns the tokens that a request of the class will generate.
func (o outputs) expect(class string, bound int) float64 {
	part, known := o[class]
	if !known {
		part = firstOutput
	}
	return part * float64(bound)
}

// learn takes the tokens that a complete answer had.
func (o outputs) learn(class string, bound int, tokens float64) {
	if bound <= 0 {
		return
	}
	part, known := o[class]
	if !known {
		part = firstOutput
	}
	o[class] = part + outputGain*(min(tokens/float64(bound), 1)-part)
}

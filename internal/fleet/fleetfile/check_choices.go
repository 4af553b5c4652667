package fleetfile

// The bounds of choices, and what is meant where nothing is set. With one copy a server's only node may fail, and
// nobody is left that knows it. One witness alone may be wrong, or cut off.
const (
	minCopies         = 2
	maxCopies         = 1000
	maxMinServers     = 100000
	defaultMinServers = 64
	minWitnesses      = 2
	maxWitnesses      = 20
)

// checkChoices checks subsets and witnesses.
func (c *checker) checkChoices(choices *Choices) {
	if !c.has("choices") {
		return
	}
	if choices.Witnesses != 0 {
		c.checkRange("choices.witnesses", choices.Witnesses, minWitnesses, maxWitnesses)
	}
	if choices.Copies == 0 && choices.Witnesses > 0 && choices.Least == 0 { // witnesses without subsets
		return
	}
	c.checkRange("choices.copies", choices.Copies, minCopies, maxCopies)
	c.checkRange("choices.least", choices.Least, 0, maxMinServers)
	if !c.has("choices.least") {
		choices.Least = defaultMinServers
	}
}

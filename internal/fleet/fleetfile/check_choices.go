package fleetfile

// Limits and defaults of table choices. With one copy, only one node would work with a server, and no other node would
// know the server after a failure of that node. A single witness may be wrong or cut off.
const (
	minCopies         = 2
	maxCopies         = 1000
	maxMinServers     = 100000
	defaultMinServers = 64
	minWitnesses      = 2
	maxWitnesses      = 20
)

// checkChoices checks the settings of subsets and witnesses.
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

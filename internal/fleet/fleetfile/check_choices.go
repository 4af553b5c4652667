package fleetfile

// Limits and defaults of table choices.
const (
	minCopies         = 2 // with 1, no other node would know a server when the only node that works with it fails
	maxCopies         = 1000
	maxMinServers     = 100000
	defaultMinServers = 64
	minWitnesses      = 2 // a single witness may be wrong or partitioned from the server
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

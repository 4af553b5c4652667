package fault

// rogueKinds returns the kinds of rogues that scripts and scenarios may name. Package client implements them.
func rogueKinds() []string {
	return []string{
		"noise", "hello", "http2", "http10",
		"silent", "half-head", "half-body", "half-closed", "half-left", "half-reset", "slow-head", "slow-body",
		"endless-head", "many-fields",
		"large-body", "large-chunks", "over-body", "two-lengths", "length-and-chunks", "odd-length", "smuggle",
		"no-id", "odd-id", "two-ids", "no-class", "odd-class", "two-classes", "odd-caller", "odd-budget",
		"two-budgets", "hop",
		"odd-method", "get-unsafe", "post-safe", "get-body", "fragment", "odd-target",
		"folded", "space-colon", "odd-line", "control", "bare-lf",
		"burst", "twin", "again", "generated",
	}
}

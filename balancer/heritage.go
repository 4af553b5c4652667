package balancer

// Carried is how many requests a second warm servers carry from this node, per
// unit of size, as far as it is learnt: what bounds the work of cold ones. A node's
// next process takes it over in its Settings, or cold servers would get next to
// nothing until it has been learnt anew.
func (b *Balancer) WarmThroughput() float64 { return b.carried }

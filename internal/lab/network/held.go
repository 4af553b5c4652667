package network

// HeldBy returns the sorted IDs of the connections of which the program on a machine holds an end. It excludes
// connections that the program has closed, even if the other end was not notified of the close.
func (n *Net) HeldBy(host string) []string {
	var ids []string
	n.forEachConn(func(c *conn) {
		for i := range c.ends {
			if e := &c.ends[i]; e.held && e.machine() == host {
				ids = append(ids, c.id)
			}
		}
	})
	return ids
}

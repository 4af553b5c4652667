// Package fleet tests a fleet of real processes: it starts the program many times over, relays what the processes send
// each other (relay, link), breaks the network between them and what they stand on as a script says (rig), and judges
// from outside, and by their records, what they made of it (members, budget, takeover, rounds, ...).
package fleet

package budget

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// seatFile is the file in a node's directory that has the home's seat of the reserve.
const seatFile = "seat.json"

// privateFile are the permissions of what a node stores.
const privateFile = 0o600

// storedSeat is the content of seatFile.
type storedSeat struct {
	Home     string             `json:"home"`
	Seat     int                `json:"seat"`
	Reserved map[string]float64 `json:"kept"` // by quota
}

// readSeat reads the home's seat. One that cannot be read, or used, counts as none: the ledger has it.
func (s *Service) readSeat(home string) storedSeat {
	data, err := os.ReadFile(filepath.Join(s.config.Directory, seatFile))
	if err != nil {
		return storedSeat{}
	}
	var stored storedSeat
	err = json.Unmarshal(data, &stored)
	if err != nil || stored.Home != home || stored.Seat < 1 || stored.Seat > s.config.Terms.Seats {
		return storedSeat{}
	}
	return stored
}

// takeSeat takes a seat that was requested under some terms. The ledger never assigns it to another home.
func (s *Service) takeSeat(seat int, terms string) {
	if seat < 1 || seat > s.config.Terms.Seats {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder == nil || terms != termsText(s.config.Quotas, s.config.Terms) {
		return
	}
	if s.seat == seat && s.holder.hasFullSeat() {
		return
	}
	s.seat = seat
	reserved := s.holder.TakeSeat(s.holder.SeatReserves())
	data, err := json.Marshal(storedSeat{Home: s.home, Seat: seat, Reserved: reserved})
	if err == nil {
		err = os.WriteFile(filepath.Join(s.config.Directory, seatFile), data, privateFile)
	}
	if err != nil { // it is requested again after the next start
		s.config.Log.Warn("fleet budget", "reason", "seat-not-kept", "why", err.Error())
	}
}

package registry

import (
	"bytes"
	"fmt"
	"math/rand/v2"
)

// garble makes an answer's body that no reader of lists may take for one. Its
// framing stays whole: only a look at the body tells.
func garble(how *rand.Rand, l list) []byte {
	body := l.json()
	switch how.IntN(6) {
	case 0: // cut short
		return body[:1+how.IntN(len(body)-1)]
	case 1: // a number as text
		number := fmt.Appendf(nil, "%d", l.Version)
		return bytes.Replace(body, number, fmt.Appendf(nil, "%q", number), 1)
	case 2: // an object where the entries should be
		return fmt.Appendf(nil, `{"version":%d,"full":%t,"servers":{"count":1}}`, l.Version, l.Full)
	case 3: // nothing where the entries should be
		return fmt.Appendf(nil, `{"version":%d,"full":%t}`, l.Version, l.Full)
	case 4: // somebody else's page
		return []byte("<html><body><h1>Bad Gateway</h1></body></html>\n")
	default: // an entry without id, before all others
		odd := `{"addr":"203.0.113.9:9000","zone":"a","state":"Ready","weight":1,"started_ms":0}`
		if len(l.Servers) > 0 {
			odd += ","
		}
		return bytes.Replace(body, []byte(`"servers":[`), []byte(`"servers":[`+odd), 1)
	}
}

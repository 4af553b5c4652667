package peer

import (
	"container/list"
	"time"

	"olivebridge/internal/lab/world"
)

// cache is the keys that a process has met lately: calls with them cost less.
type cache struct {
	gain  float64
	keep  time.Duration
	most  int
	keys  map[string]*list.Element // of remembered
	order *list.List               // the last met first
}

type remembered struct {
	key string
	at  time.Duration
}

func newCache(c world.Peer) cache {
	return cache{
		gain: c.CacheGain, keep: c.CacheFor.D(), most: c.CacheKeys,
		keys: map[string]*list.Element{}, order: list.New(),
	}
}

// share is the part of its work that a call with a key costs now.
func (c *cache) share(key string, now time.Duration) float64 {
	if e := c.keys[key]; e != nil && now-e.Value.(remembered).at <= c.keep {
		return 1 - c.gain
	}
	return 1
}

// meet remembers a key, and forgets the one not met for longest beyond the
// number that it can remember.
func (c *cache) meet(key string, now time.Duration) {
	if key == "" || c.most <= 0 {
		return
	}
	if e := c.keys[key]; e != nil {
		e.Value = remembered{key, now}
		c.order.MoveToFront(e)
		return
	}
	c.keys[key] = c.order.PushFront(remembered{key, now})
	if c.order.Len() > c.most {
		delete(c.keys, c.order.Remove(c.order.Back()).(remembered).key)
	}
}

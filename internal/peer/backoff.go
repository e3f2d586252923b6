package peer

import "time"

// backoff returns the delay before the next dial after the given number of
// consecutive failures; random is in [0,1).
func backoff(failures int, random float64) time.Duration {
	ceiling := backoffBase
	for range failures - 1 {
		ceiling = min(2*ceiling, backoffMax)
		if ceiling == backoffMax {
			break
		}
	}
	return time.Duration(random * float64(ceiling))
}

// Package ferrydrain keeps new work away from upstreams that are leaving, and stops an entry without cutting off a request.
package ferrydrain

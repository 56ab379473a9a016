// Package ferrydemo starts a fleet of ferryd and stand-ins as separate processes,
// and runs a demo that sends requests to it and checks the answers.
package ferrydemo

// Package ferrydemo runs the whole system in separate processes, serves real requests with it and checks what comes back.
package ferrydemo

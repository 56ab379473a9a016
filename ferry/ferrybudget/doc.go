// Package ferrybudget bounds how often requests are sent again, as a share of the requests and an allowance that all entries divide.
package ferrybudget

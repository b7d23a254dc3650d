fleet {
  requests {
    rate = 100
    at {
      last_days = 3
      rate      = 150
    }
  }
  book "*" {
    requests {
      rate = 10
      at {
        from = "08:00"
        to   = "09:00"
        rate = 5
      }
    }
  }
}

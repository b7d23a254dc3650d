fleet {
  requests {
    rate = 100
    at {
      from = "08:00"
      rate = 50
    }
    at { rate = 60 }
    at { last_days = 3 }
  }
  book "*" {
    requests {
      rate = 10
      at {
        last_days = 40
        rate      = 5
      }
    }
  }
}
